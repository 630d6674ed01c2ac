/**
 * The core of an entry: its decisions, without any input and output.
 *
 * @module
 */
export * from "./actions/index.ts";
export * from "./addresses/index.ts";
export * from "./blackboard/index.ts";
export * from "./configuration/index.ts";
export * from "./core.ts";
export * from "./customers/index.ts";
export * from "./decode/index.ts";
export * from "./demand/index.ts";
export * from "./endpoint_terms/index.ts";
export * from "./endpoints/index.ts";
export * from "./explain/index.ts";
export * from "./fair_shares/index.ts";
export * from "./features/index.ts";
export * from "./fleet/index.ts";
export * from "./gateway/index.ts";
export * from "./ids/index.ts";
export * from "./lifecycle/index.ts";
export * from "./listening/index.ts";
export * from "./membership/index.ts";
export * from "./messages/index.ts";
export * from "./metrics/index.ts";
export * from "./outlook/index.ts";
export * from "./overload/index.ts";
export * from "./pace/index.ts";
export * from "./placement/index.ts";
export * from "./quarantine/index.ts";
export * from "./requests/index.ts";
export {
  RETRY_KINDS,
  type RetryBounds,
  type RetryCounts,
  type RetryKind,
  type RetryLoanMessage,
} from "./retries/index.ts";
export * from "./routes/index.ts";
export * from "./routing/index.ts";
export * from "./stream_origins/index.ts";
export * from "./streams/index.ts";
export * from "./text/index.ts";
export * from "./verdict/index.ts";
