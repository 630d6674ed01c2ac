export * from "./demand_messages.ts";
export * from "./demand_reporter.ts";
export * from "./demand_tally.ts";
export * from "./region_demand.ts";
