export * from "./events.ts";
export * from "./peer.ts";
export * from "./platform.ts";
export * from "./request.ts";
