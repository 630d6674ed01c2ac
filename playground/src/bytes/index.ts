export { type ByteEntry, ByteFleet, type ByteFleetPlan } from "./byte_fleet.ts";
export {
  eventOf,
  eventsOf,
  type EventStyle,
  faultOf,
  PLAIN_STYLE,
  type SeenAnswer,
} from "./event_text.ts";
export {
  freePorts,
  type Line,
  LocalEntry,
  type LocalPlace,
} from "./local_entry.ts";
export { ProcessEntry } from "./process_entry.ts";
export {
  type Framing,
  RawEngine,
  type RawRequest,
  type RunScript,
  type StatedTerms,
  type Stop,
} from "./raw_engine.ts";
export { mostWithin } from "../client/most_within.ts";
export { askStream, type StreamQuestion } from "./stream_caller.ts";
