export { type ReadAnswer, ResponseReader } from "./response_reader.ts";
export {
  type SeenOutcome,
  sendTimed,
  type TimedRequest,
  type TimedSend,
} from "./stop_caller.ts";
export {
  bodyOf,
  eventCountOf,
  TimedEndpoint,
  type TimedRun,
} from "./timed_endpoint.ts";
