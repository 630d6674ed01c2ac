export { isRepeatable } from "./active_request.ts";
export {
  type AdmissionResult,
  admit,
  hasLiveEndpoint,
  MAX_DEADLINE_MS,
} from "./admission.ts";
export { MAX_ATTEMPTS } from "./attempt_tracker.ts";
export { predictWait, usableEndpoints } from "./capacity.ts";
export {
  type EntryList,
  type ListedEntry,
  listEntries,
  otherEntries,
} from "./entry_list.ts";
export { attemptStateOf } from "./attempt_state.ts";
export { RequestQuarantine } from "./request_quarantine.ts";
export { RequestController } from "./request_controller.ts";
export {
  ACTION_GRACE_MS,
  CONFIRMATION_TIMEOUT_MS,
} from "./request_dependencies.ts";
export { RetryThrottle } from "./retry_throttle.ts";
export {
  LOW_CLASS_INTERVAL,
  type QueuedRequest,
  ServiceQueue,
} from "./service_queue.ts";
