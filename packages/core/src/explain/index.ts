export * from "./decision_log.ts";
