export { encodeFleetMessage } from "./fleet_schema.ts";
export { GatewayEntry, type PlatformAdapter } from "./gateway_entry.ts";
export { createGatewayClient } from "./gateway_router.ts";
export * from "./protocol.ts";
export type { GatewayStatus } from "./status.ts";
export {
  DOCUMENT_VERSION_HEADER,
  parseDocumentVersion,
  parseStreamOrigin,
  RELAY_ATTEMPT_HEADER,
  STREAM_ORIGIN_HEADER,
} from "./relay_header.ts";
