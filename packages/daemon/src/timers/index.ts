export { afterPoll, type Cancel } from "./after_poll.ts";
export { closeIdleAfterPoll } from "./idle_connections.ts";
export { Suspensions } from "./suspensions.ts";
export {
  afterActiveTime,
  whileHearing,
  withActiveTimeout,
} from "./while_listening.ts";
