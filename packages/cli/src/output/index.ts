export * from "./result.ts";
export * from "./table.ts";
