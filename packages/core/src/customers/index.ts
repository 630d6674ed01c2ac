export {
  DocumentFreshness,
  type FreshnessMark,
  type FreshnessProof,
  type FreshnessView,
} from "./document_freshness.ts";
export * from "./customer.ts";
export { CustomerDirectory } from "./customer_directory.ts";
export { RefusedKeys } from "./refused_keys.ts";
export { checkKey, type KeyVerdict } from "./check_key.ts";
export {
  CustomerLimits,
  type CustomerLimitSources,
  type LimitVerdict,
} from "./customer_limits.ts";
export { DecayingSum } from "./decaying_sum.ts";
export { LimitBucket } from "./limit_bucket.ts";
export type {
  CustomerSum,
  CustomerTotal,
  SpendingMessage,
  SpendingReport,
  SpendingTotals,
} from "./spending_messages.ts";
