export {
  isSocketAddress,
  parseSocketAddress,
  type SocketAddress,
} from "./socket_address.ts";
