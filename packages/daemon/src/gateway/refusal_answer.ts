/**
 * The answer with which an entry itself refuses a request.
 *
 * @module
 */
import { type CallRefusal, formatVerdictHeader } from "@sassafrasstep/core";
import { OFFERED_HEADER, VERDICT_HEADER } from "../callers/headers.ts";
import type { CallerProtocol, RawHeaders } from "./protocol.ts";

/** Returns the headers, but for the body's length, and the body of a refusal. */
export function refusalAnswer(
  refusal: CallRefusal,
  protocol: CallerProtocol,
): { headers: RawHeaders; body: Buffer } {
  const body = Buffer.from(JSON.stringify({
    type: "about:blank",
    status: refusal.status,
    title: refusal.reason,
  }));
  const headers = [
    ...protocol.refusalHeaders(refusal),
    VERDICT_HEADER,
    formatVerdictHeader(refusal.verdict),
    OFFERED_HEADER,
    String(refusal.offered),
    "content-type",
    "application/problem+json",
  ];
  return { headers, body };
}
