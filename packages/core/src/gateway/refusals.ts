/**
 * Refusals that an entry sends itself, without an endpoint's answer.
 *
 * @module
 */
import type { Milliseconds } from "../ids/index.ts";
import type { Verdict } from "../verdict/index.ts";
import type { CallRefusal, CallRefusalReason } from "./messages.ts";

const BAD_REQUEST = 400;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const REQUEST_TIMEOUT = 408;
const MISDIRECTED_REQUEST = 421;
const TOO_MANY_REQUESTS = 429;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Statuses of refusals after which the caller has to change its request, or wait for its limit. */
const NOT_RUN_STATUSES: Readonly<Partial<Record<CallRefusalReason, number>>> = {
  no_route: NOT_FOUND,
  unknown_key: UNAUTHORIZED,
  over_limit: TOO_MANY_REQUESTS,
  malformed_resumption: BAD_REQUEST,
};

/** Statuses with which callers are told that their request did not run and never will. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([
  REQUEST_TIMEOUT,
  MISDIRECTED_REQUEST,
  TOO_MANY_REQUESTS,
  UNAVAILABLE,
]);

/** Whether a caller takes a status for the promise that its request did not run and never will. */
export function promisesNotRun(status: number): boolean {
  return PROMISE_STATUSES.has(status);
}

/**
 * Creates a refusal, with a status that agrees with its verdict.
 *
 * Status 503 guarantees that the request has not run and never will, and callers repeat actions because of it.
 * A wrong 503 would make an action run twice, so it is used for the verdict `not_run` alone.
 */
export function createRefusal(
  reason: CallRefusalReason,
  { verdict, offered, retryAfter }: {
    verdict: Verdict;
    offered: number;
    retryAfter: Milliseconds;
  },
): CallRefusal {
  const notRun = verdict.kind === "not_run";
  const status = notRun
    ? NOT_RUN_STATUSES[reason] ?? UNAVAILABLE
    : reason === "deadline"
    ? GATEWAY_TIMEOUT
    : BAD_GATEWAY;
  return {
    reason,
    status,
    verdict,
    offered,
    retryAfter: status === UNAVAILABLE || status === TOO_MANY_REQUESTS
      ? retryAfter
      : undefined,
  };
}
