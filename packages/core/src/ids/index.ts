export * from "./ids.ts";
export * from "./hash.ts";
