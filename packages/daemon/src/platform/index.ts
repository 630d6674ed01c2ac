export * from "./platform_client.ts";
