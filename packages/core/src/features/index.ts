export * from "./features.ts";
