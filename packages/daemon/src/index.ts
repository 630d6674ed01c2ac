/**
 * Public API of the daemon package.
 *
 * @module
 */
export * from "./callers/headers.ts";
export { prefixBlocks } from "./callers/index.ts";
export { type ControlService, createControlServer } from "./control/index.ts";
export type {
  EndpointStatus,
  MemberStatus,
  MetricsReport,
  Status,
} from "./control/index.ts";
export {
  Credentials,
  encodeHeartbeat,
  encodeHeartbeatReply,
  PeerClients,
  type PeerRouter,
  sendHeartbeat,
} from "./peers/index.ts";
export {
  parseSettings,
  type Settings,
  type SettingsResult,
} from "./settings/index.ts";
export * from "./gateway/index.ts";
export { createResetAwareAgent } from "./clients/index.ts";
export { drainBody, readJson } from "./sockets/index.ts";
export { withActiveTimeout, withIdleTimeout } from "./timers/index.ts";
export { Logger } from "./logs/index.ts";
export {
  type GatewaySettings,
  type GatewaySettingsResult,
  parseGatewaySettings,
} from "./settings/index.ts";
