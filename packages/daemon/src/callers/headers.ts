/**
 * Names of the headers between callers, entries and endpoints.
 *
 * @module
 */

/** Request class: `screen` or `summary`. */
export const CLASS_HEADER = "sassafrasstep-class";
/** Milliseconds that the caller waits for an answer. */
export const DEADLINE_HEADER = "sassafrasstep-deadline-ms";
/** Service of a chat completion request whose path does not name one. */
export const SERVICE_HEADER = "sassafrasstep-service";
/** Incarnations of the entries that a request has passed through. */
export const HOP_HEADER = "sassafrasstep-hop";
/** Id of the request, or of the attempt between entries. */
export const REQUEST_HEADER = "sassafrasstep-request";
/** Id of an attempt at an endpoint, which its answer should repeat. */
export const ATTEMPT_HEADER = "x-request-id";
/** Offset of the first token that a forwarding peer requests, which is above 0 for a resumed stream. */
export const OFFSET_HEADER = "sassafrasstep-offset";
/** Verdict on whether the request has run or may have run. */
export const VERDICT_HEADER = "sassafrasstep-verdict";
/** Verdict on this send alone, if earlier sends of its key have another verdict. */
export const THIS_SEND_HEADER = "sassafrasstep-this-send";
/** Endpoints to which the entry, or a peer that it forwarded to, offered a refused request. */
export const OFFERED_HEADER = "sassafrasstep-offered";
/** Set on an answer that is repeated from an earlier send of the key. */
export const REPLAYED_HEADER = "sassafrasstep-replayed";
/** Milliseconds to wait before a retry; `Retry-After` has them rounded to seconds. */
export const RETRY_AFTER_MS_HEADER = "sassafrasstep-retry-after-ms";
