/**
 * Answers that an entry gives itself.
 *
 * @module
 */
import type { Milliseconds } from "../ids/index.ts";
import type { Verdict } from "../verdict/index.ts";
import type { CallRefusal, CallRefusalReason } from "./messages.ts";

const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const TOO_MANY = 429;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** What a caller has to change, rather than to wait for. */
const NOT_RUN_STATUSES: Readonly<Partial<Record<CallRefusalReason, number>>> = {
  no_route: NOT_FOUND,
  unknown_key: UNAUTHORIZED,
  over_limit: TOO_MANY,
};

/**
 * A refusal with the status that its verdict allows.
 *
 * 503 promises that the request has not run and never will; callers repeat actions on that promise.
 * One notices a false one by an action that ran twice. So 503 is given for `not_run` alone.
 */
export function refuse(
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
    retryAfter: status === UNAVAILABLE || status === TOO_MANY
      ? retryAfter
      : undefined,
  };
}
