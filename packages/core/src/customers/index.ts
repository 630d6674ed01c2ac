export {
  Currency,
  type CurrencyMark,
  type CurrencyProof,
  type CurrencyView,
} from "./currency.ts";
export * from "./customer.ts";
export { CustomerDirectory } from "./customer_directory.ts";
export { RefusedKeys } from "./refused_keys.ts";
export { judgeKey, type KeyVerdict } from "./judge_key.ts";
export {
  CustomerLimits,
  type CustomerLimitSources,
  type LimitVerdict,
} from "./customer_limits.ts";
export { FadingSum } from "./fading_sum.ts";
export { LimitBucket } from "./limit_bucket.ts";
export type {
  CustomerSum,
  CustomerTotal,
  SpendingMessage,
  SpendingReport,
  SpendingTotals,
} from "./spending_messages.ts";
