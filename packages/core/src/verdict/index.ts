export * from "./refusal.ts";
export * from "./verdict.ts";
