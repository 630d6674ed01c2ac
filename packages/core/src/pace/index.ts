export * from "./contention_model.ts";
export * from "./endpoint_pace.ts";
export * from "./service_pace.ts";
export * from "./report_allowance.ts";
