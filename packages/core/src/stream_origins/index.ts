export * from "./origin_messages.ts";
export type { ReplicaCandidates } from "./origin_replicas.ts";
export * from "./stream_origin.ts";
export * from "./stream_origins.ts";
