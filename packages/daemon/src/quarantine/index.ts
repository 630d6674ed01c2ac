export * from "./quarantine_schema.ts";
export * from "./schema_parts.ts";
