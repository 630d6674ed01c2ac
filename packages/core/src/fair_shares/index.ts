export { customerWeights, type Sharer } from "./customer_weights.ts";
export { fairLevel, type WeightedDemand } from "./fair_level.ts";
export * from "./fair_shares.ts";
export { SHARE_WINDOW_MS, workOf } from "./service_shares.ts";
export { MAX_YIELD_MS } from "./yield_periods.ts";
