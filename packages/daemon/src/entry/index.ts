export * from "./entry.ts";
