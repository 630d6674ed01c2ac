export * from "./client.ts";
