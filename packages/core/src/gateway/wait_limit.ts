/**
 * How long a request waits for capacity before it is refused.
 *
 * @module
 */

/**
 * Longest wait for capacity, as a fraction of the request's time and in milliseconds. A request that would
 * wait longer is refused at once, while its caller still has time to retry and be served. Without the limit in
 * milliseconds, requests with a timeout of ten seconds waited four in vain: on a simulated day of high load,
 * more of the value was lost to requests that waited and were not served than with the limit.
 */
const MAX_WAIT_FRACTION = 0.4;
const MAX_WAIT_MS = 2_500;

/** Longest wait of a request that has `timeLimit` milliseconds. */
export function waitLimit(timeLimit: number): number {
  return Math.min(MAX_WAIT_MS, timeLimit * MAX_WAIT_FRACTION);
}
