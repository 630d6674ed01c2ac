export * from "./endpoint_controller.ts";
export {
  LOAD_POLL_PERIOD_MS,
  POLLS_PER_SECOND,
} from "./load_poll_scheduler.ts";
export { SUBSET_SIZE } from "./subset.ts";
