export * from "./endpoint_pace.ts";
