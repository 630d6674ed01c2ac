/**
 * Refusals that callers get: status, reason, verdict, when to retry and which other entries to use.
 *
 * @module
 */
import type { Milliseconds } from "../ids/index.ts";
import type { Verdict } from "./verdict.ts";

/** Reasons for which an entry refuses a request. They must stay stable, since callers and metrics use them. */
export type RefusalReason =
  | "unknown_customer"
  | "unknown_service"
  | "invalid_request"
  | "key_required"
  | "key_invalid"
  | "key_conflict"
  | "key_expired"
  | "wrong_region"
  | "loop"
  | "not_ready"
  | "stopping"
  | "customer_limit"
  | "overloaded"
  | "deadline"
  | "no_endpoint"
  | "dependency_down"
  | "configuration_unconfirmed"
  | "owner_gone"
  | "owner_unreachable"
  | "endpoint_failed"
  | "endpoint_refused"
  | "held"
  | "answer_not_kept"
  | "caller_gone";

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  unknown_customer: 401,
  unknown_service: 404,
  invalid_request: 400,
  key_required: 400,
  key_invalid: 400,
  key_conflict: 422,
  key_expired: 409,
  wrong_region: 421,
  loop: 508,
  not_ready: 503,
  stopping: 503,
  customer_limit: 429,
  overloaded: 503,
  deadline: 504,
  no_endpoint: 503,
  dependency_down: 503,
  configuration_unconfirmed: 503,
  owner_gone: 409,
  owner_unreachable: 503,
  endpoint_failed: 502,
  endpoint_refused: 503,
  held: 503,
  answer_not_kept: 409,
  caller_gone: 499,
};

/** A final answer that was not produced by an endpoint. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** HTTP status, fixed by the reason. */
  readonly status: number;
  /** One human-readable sentence, without any customer data. */
  readonly detail: string;
  /** Verdict on the request, including all earlier sends under the same idempotency key. */
  readonly verdict: Verdict;
  /**
   * Verdict on this send alone, if it differs: an earlier send under the same key may have run even though
   * this one did not.
   */
  readonly thisSend?: Verdict;
  /** Time after which a retry makes sense. */
  readonly retryAfter?: Milliseconds;
  /** Base URLs of entries that may serve the request instead. */
  readonly goTo?: readonly string[];
}

/** Creates a refusal with the HTTP status of its reason. */
export function createRefusal(
  reason: RefusalReason,
  rest: Omit<Refusal, "reason" | "status">,
): Refusal {
  return { reason, status: STATUS_BY_REASON[reason], ...rest };
}
