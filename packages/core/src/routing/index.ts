export * from "./balancer.ts";
export * from "./estimate.ts";
export * from "./spill.ts";
