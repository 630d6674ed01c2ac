/**
 * Names of the headers between callers, entries and endpoints.
 *
 * @module
 */

/** Class of a request: `screen` or `summary`. */
export const CLASS_HEADER = "sassafrasstep-class";
/** Milliseconds until the caller gives up. */
export const DEADLINE_HEADER = "sassafrasstep-deadline-ms";
/** Service of a chat completion, where the path does not name it. */
export const SERVICE_HEADER = "sassafrasstep-service";
/** Incarnations of entries that a request went through. */
export const HOP_HEADER = "sassafrasstep-hop";
/** Id of the request or attempt. */
export const REQUEST_HEADER = "sassafrasstep-request";
/** First token wanted by a peer that goes on with a stream. */
export const OFFSET_HEADER = "sassafrasstep-offset";
/** Whether the request may have run. */
export const VERDICT_HEADER = "sassafrasstep-verdict";
/** The same for this send alone, where a key's earlier sends make a difference. */
export const THIS_SEND_HEADER = "sassafrasstep-this-send";
/** Endpoints that the entry, or one behind it, offered a refused request to. */
export const OFFERED_HEADER = "sassafrasstep-offered";
/** Set on an answer that an earlier send of the key got. */
export const REPLAYED_HEADER = "sassafrasstep-replayed";
/** When to come back, in milliseconds; `Retry-After` says it in whole seconds. */
export const RETRY_AFTER_MS_HEADER = "sassafrasstep-retry-after-ms";
