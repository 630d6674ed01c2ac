export {
  type RetryBounds,
  RetryBudget,
  type RetryDecision,
} from "./retry_budget.ts";
export { RetryCounts } from "./retry_counts.ts";
export { divideSlack, type SlackShare } from "./slack_share.ts";
export { type RetryLoanMessage, RetryLoans } from "./retry_loans.ts";
export { RETRY_KINDS, type RetryKind } from "./retry_kind.ts";
