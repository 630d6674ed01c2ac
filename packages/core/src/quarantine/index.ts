export * from "./quarantine_messages.ts";
export * from "./crash_watch.ts";
export * from "./fingerprint.ts";
export * from "./hold_keeper.ts";
export * from "./hold_list.ts";
export * from "./quarantine_controller.ts";
