export { afterPoll, type Cancel } from "./after_poll.ts";
export { closeIdleAfterPoll } from "./idle_connections.ts";
export { SuspensionDetector } from "./suspension_detector.ts";
export {
  afterActiveTime,
  withActiveTimeout,
  withIdleTimeout,
} from "./active_timeout.ts";
