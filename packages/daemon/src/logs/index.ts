export * from "./logger.ts";
