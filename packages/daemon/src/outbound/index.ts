export {
  type AttemptHost,
  AttemptRunner,
  MAX_ANSWER_BYTES,
} from "./attempt_runner.ts";
export { createSingleUseClient, isConnectError } from "./connections.ts";
export { EndpointClient } from "./endpoint_client.ts";
export { LOAD_HEADER, parseLoadReport } from "./load_report.ts";
