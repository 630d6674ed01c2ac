export {
  type RetryBounds,
  RetryBudget,
  type RetryDecision,
} from "./retry_budget.ts";
export { RetryCounts } from "./retry_counts.ts";
export { RETRY_KINDS, type RetryKind } from "./retry_kind.ts";
