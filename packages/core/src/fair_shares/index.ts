export * from "./customer_weights.ts";
export * from "./fair_level.ts";
export * from "./fair_shares.ts";
