/**
 * Guards for the retries of all entries together.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const RETRIES = "packages/core/src/retries";
const GATEWAY = "packages/core/src/gateway";
const BUDGET = "routes: retries of all entries";

/** Guards for the retry budget. */
export const RETRY_GUARDS: readonly Guard[] = [
  {
    point: BUDGET,
    name: "an entry that is silent keeps its part of the slack",
    file: "packages/core/src/fleet/entry_census.ts",
    find: "if (silentSince !== undefined && now - silentSince > retention) {",
    replace: "if (silentSince !== undefined) {",
  },
  {
    point: BUDGET,
    name: "each region has a part of the slack of its own",
    file: `${RETRIES}/slack_share.ts`,
    find:
      "{ fraction: 1 / (Math.max(1, regions) * entries), regions, entries }",
    replace: "{ fraction: 1 / entries, regions, entries }",
  },
  {
    point: BUDGET,
    name: "an entry that knows no other uses no slack",
    file: `${RETRIES}/slack_share.ts`,
    find: "? { fraction: 0, regions, entries: 0 }",
    replace: "? { fraction: 1, regions, entries: 0 }",
  },
  {
    point: BUDGET,
    name: "a process that starts has no burst",
    file: `${RETRIES}/slack_share.ts`,
    find: "const burst = beganBefore ? 0 : BURST_FRACTION;",
    replace: "const burst = BURST_FRACTION;",
  },
  {
    point: BUDGET,
    name: "a retry must fit into each window",
    file: `${RETRIES}/retry_budget.ts`,
    find: "for (let age = 0; age <= BUCKETS_PER_WINDOW; age++) {",
    replace: "for (let age = 0; age <= 0; age++) {",
  },
  {
    point: BUDGET,
    name: "what is lent is spent",
    file: `${RETRIES}/retry_budget.ts`,
    find: "this.#countsOf(service).retries.add(now, amount);",
    replace: "",
  },
  {
    point: BUDGET,
    name: "a loan that arrives late is void",
    file: `${RETRIES}/retry_loans.ts`,
    find: "const isValid = now - askedAt <= MAX_LOAN_AGE_MS;",
    replace: "const isValid = now >= askedAt;",
  },
  {
    point: BUDGET,
    name: "no request is written to a second endpoint without a retry",
    file: `${GATEWAY}/call_retries.ts`,
    find:
      "if (state === undefined || !isRetry(call) || isPrepaid(call, now)) {",
    replace: "if (state !== null) {",
  },
  {
    point: BUDGET,
    name: "a retry that was held back is granted anew",
    file: `${GATEWAY}/call_retries.ts`,
    find: "now - retry.at <= GRANT_LIFETIME_MS;",
    replace: "now >= retry.at;",
  },
  {
    point: BUDGET,
    name: "a request counts at one entry",
    file: `${GATEWAY}/call_retries.ts`,
    find: "if (head.relay === undefined) {",
    replace: "if (head !== null) {",
  },
];
