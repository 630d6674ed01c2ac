export * from "./configuration_controller.ts";
export {
  CONFIRMATION_WAIT_MS,
  COPY_TIMEOUT_MS,
  createConfigurationView,
  FALLBACK_READ_PERIOD_MS,
  INITIAL_READ_PERIOD_MS,
  READ_RETRY_DELAY_MS,
} from "./configuration_section.ts";
export * from "./fleet_revision.ts";
export { MAX_KNOWN_TEXTS } from "./text_history.ts";
export * from "./watcher_election.ts";
