export {
  type AnswerEnding,
  BreakingEndpoint,
  type BreakingScript,
} from "./breaking_endpoint.ts";
export {
  type ByteEntry,
  ByteFleet,
  type ByteFleetPlan,
  type ScriptedEndpoint,
} from "./byte_fleet.ts";
export {
  eventsOf,
  type EventStyle,
  faultOf,
  formatEvent,
  PLAIN_STYLE,
  type SeenAnswer,
} from "./event_text.ts";
export {
  allocatePorts,
  type EntryOptions,
  LocalEntry,
  type LogLine,
} from "./local_entry.ts";
export { ProcessEntry, type ProcessOptions } from "./process_entry.ts";
export {
  type Framing,
  RawEngine,
  type RunScript,
  type StatedTerms,
  type Stop,
} from "./raw_engine.ts";
export {
  type CopyTime,
  type RefusalScript,
  RefusingEndpoint,
} from "./refusing_endpoint.ts";
export { onRequests, type RawRequest } from "./raw_request.ts";
export { NETWORK_PREFIX } from "../platform/loopback.ts";
export { eventually, route } from "../platform/platform_fleet.ts";
export { StandInStore, type StoreFault } from "../platform/stand_in_store.ts";
export { mostWithin } from "../client/most_within.ts";
export { findRetryExcess } from "../client/retry_sum.ts";
export { askStream, type StreamRequest } from "./stream_caller.ts";
