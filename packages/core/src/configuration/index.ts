export * from "./configuration_controller.ts";
export {
  CONFIRMATION_WAIT_MS,
  COPY_TIMEOUT_MS,
  createConfiguration,
  FAILED_READ_PAUSE_MS,
  FALLBACK_READ_PERIOD_MS,
  FIRST_READ_PERIOD_MS,
} from "./configuration_section.ts";
export * from "./watch_duty.ts";
