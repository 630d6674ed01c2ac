export {
  LINKS_VARIABLE,
  type LinkSettings,
  type LinkState,
} from "./link_state.ts";
export { type LinkDirection, TcpLink } from "./tcp_link.ts";
