export * from "./quarantine_messages.ts";
export * from "./crash_detector.ts";
export * from "./fingerprint.ts";
export * from "./hold_controller.ts";
export * from "./hold_list.ts";
export * from "./quarantine_controller.ts";
export {
  ANY_CALLER,
  type CrashSubject,
  isPart,
  subjectsOf,
} from "./subject.ts";
