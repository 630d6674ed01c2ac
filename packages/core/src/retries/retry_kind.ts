/**
 * Why a request is sent to an endpoint once more.
 *
 * @module
 */

/** The kinds of retries, in the order in which reports list them. */
export const RETRY_KINDS = [
  /** An endpoint or a peer refused the request without running it. */
  "rejected",
  /** The endpoint answered a failure. */
  "failed",
  /** The connection broke before the answer began. */
  "lost",
  /** The endpoint went silent. */
  "silent",
  /** The answer broke off, and the stream goes on at another endpoint. */
  "resumed",
  /** Another entry relayed the request after an endpoint may have received it. */
  "relayed",
] as const;

/** Why a request is sent to an endpoint once more. */
export type RetryKind = typeof RETRY_KINDS[number];
