export * from "./control_server.ts";
export * from "./report.ts";
