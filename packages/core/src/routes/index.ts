export * from "./endpoint_record.ts";
export * from "./route.ts";
export * from "./route_table.ts";
