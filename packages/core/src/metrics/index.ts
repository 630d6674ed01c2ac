export * from "./metrics.ts";
