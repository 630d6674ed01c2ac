export * from "./token_stream.ts";
