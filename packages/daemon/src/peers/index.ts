export { copyConfiguration, PeerClients, sendHeartbeat } from "./client.ts";
export { Credentials, PEER_HEADER } from "./credentials.ts";
export {
  type PeerContext,
  type PeerRouter,
  peerRouter,
  type PeerService,
} from "./router.ts";
export { encodeHeartbeat, encodeHeartbeatReply } from "./heartbeat_encoding.ts";
