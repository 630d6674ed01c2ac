/**
 * Schedule of load polls of endpoints.
 *
 * @module
 */
import type { Endpoint } from "../blackboard/index.ts";
import type { Instant } from "../ids/index.ts";

/** Minimum time from a load poll or load report of an endpoint to the next poll. */
export const LOAD_POLL_PERIOD_MS = 500;
/**
 * Load polls per second of one entry, for any number of endpoints, so that their cost stays within the budget for
 * control traffic. That is enough, because busy endpoints report their load with their answers and the load of
 * idle ones changes slowly.
 */
export const POLLS_PER_SECOND = 2;
/** Polls per second with many endpoints, where the budget is needed for heartbeats and configuration. */
const POLLS_PER_SECOND_MANY_ENDPOINTS = 1;
const MANY_ENDPOINTS_THRESHOLD = 64;

/** Chooses the endpoints whose last poll or load report is oldest, within the rate limit. */
export class LoadPollScheduler {
  #allowance = POLLS_PER_SECOND;
  #refilledAt: Instant;

  constructor(now: Instant) {
    this.#refilledAt = now;
  }

  /** Returns the endpoints to poll now, each at most once. */
  choose<Item extends Endpoint>(
    endpoints: Iterable<Item>,
    { count, now }: { count: number; now: Instant },
  ): Item[] {
    const rate = count > MANY_ENDPOINTS_THRESHOLD
      ? POLLS_PER_SECOND_MANY_ENDPOINTS
      : POLLS_PER_SECOND;
    this.#allowance = Math.min(
      rate,
      this.#allowance + ((now - this.#refilledAt) / 1_000) * rate,
    );
    this.#refilledAt = now;
    const affordable = Math.floor(this.#allowance);
    if (affordable === 0) {
      return [];
    }
    const chosen = longestUnpolled(endpoints, { limit: affordable, now });
    this.#allowance -= chosen.length;
    return chosen;
  }
}

function longestUnpolled<Item extends Endpoint>(
  endpoints: Iterable<Item>,
  { limit, now }: { limit: number; now: Instant },
): Item[] {
  const since = ({ lastPolledAt }: Item): number => lastPolledAt ?? -Infinity;
  const due = [...endpoints].filter((endpoint) =>
    now - since(endpoint) >= LOAD_POLL_PERIOD_MS
  );
  // Compared without subtraction, since the difference of two infinities (neither was polled yet) is NaN.
  due.sort((
    left,
    right,
  ) => (since(left) < since(right) ? -1 : since(left) > since(right) ? 1 : 0));
  return due.slice(0, limit);
}
