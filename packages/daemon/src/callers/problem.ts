/**
 * Refusals as `application/problem+json` (RFC 9457).
 *
 * @module
 */
import {
  formatVerdictHeader,
  type Refusal,
  type Verdict,
} from "@sassafrasstep/core";
import {
  REQUEST_HEADER,
  RETRY_AFTER_MS_HEADER,
  THIS_SEND_HEADER,
  VERDICT_HEADER,
} from "./headers.ts";

const MIN_RETRY_AFTER_S = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** The body of a refusal. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: string;
  readonly verdict: string;
  readonly this_send?: string;
  readonly request: string;
  readonly retry_after_ms?: number;
  readonly go_to?: readonly string[];
}

/** Converts a refusal to its body. */
export function toProblem(refusal: Refusal, request: string): Problem {
  const { reason, status, detail, verdict, thisSend, retryAfter, goTo } =
    refusal;
  return {
    type: `urn:sassafrasstep:refusal:${reason}`,
    title: reason.replaceAll("_", " "),
    status,
    detail,
    reason,
    verdict: formatVerdictHeader(verdict),
    ...(thisSend === undefined
      ? {}
      : { this_send: formatVerdictHeader(thisSend) }),
    request,
    ...(retryAfter === undefined || !Number.isFinite(retryAfter)
      ? {}
      : { retry_after_ms: Math.ceil(retryAfter) }),
    ...(goTo === undefined || goTo.length === 0 ? {} : { go_to: goTo }),
  };
}

/** Converts a refusal to a response. */
export function problemResponse(refusal: Refusal, request: string): Response {
  const problem = toProblem(refusal, request);
  const headers = verdictHeaders(refusal.verdict, request);
  headers.set("content-type", "application/problem+json");
  if (problem.this_send !== undefined) {
    headers.set(THIS_SEND_HEADER, problem.this_send);
  }
  setRetryAfter(headers, problem.retry_after_ms);
  // Otherwise the rest of an unread body would be parsed as the next request.
  headers.set("connection", "close");
  return new Response(JSON.stringify(problem), {
    status: refusal.status,
    headers,
  });
}

/** Returns the headers that every answer has. */
export function verdictHeaders(verdict: Verdict, request: string): Headers {
  return new Headers({
    [REQUEST_HEADER]: request,
    [VERDICT_HEADER]: formatVerdictHeader(verdict),
  });
}

/** Sets `Retry-After` for generic clients, in seconds, and the exact header for our own, in milliseconds. */
export function setRetryAfter(
  headers: Headers,
  retryAfterMs: number | undefined,
): void {
  if (retryAfterMs === undefined) {
    return;
  }
  const seconds = Math.max(
    MIN_RETRY_AFTER_S,
    Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND),
  );
  headers.set("retry-after", String(seconds));
  headers.set(RETRY_AFTER_MS_HEADER, String(retryAfterMs));
}
