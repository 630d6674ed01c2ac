/**
 * Limits how often this entry may send a request to a second endpoint.
 *
 * @module
 */
import type { Instant, Milliseconds, ServiceId } from "../ids/index.ts";

/** How many retries the entries of a deployment may make together. */
export interface RetryBounds {
  /** Retries allowed over all entries: this fraction of the requests in a window, plus `retrySlack`. */
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  readonly retrySlack: number;
}

/** Whether a retry may be made, and what that was decided by. */
export interface RetryDecision {
  readonly granted: boolean;
  /** Retries that the budget had left before. */
  readonly left: number;
  /** Number of entries that the slack was divided by. */
  readonly entries: number;
}

/** Fraction of the fleet's budget that is used, because the windows of the entries differ slightly. */
const BUDGET_FRACTION = 0.7;
const BUCKETS = 20;

interface Counts {
  firsts: number[];
  retries: number[];
  bucket: number;
}

/**
 * Budget for retries. When endpoints fail under load, retries add to the load that makes them fail. The budget
 * holds for all entries together, and an entry cannot know the total without asking all others. So each entry
 * uses a share such that all shares add up to no more than the whole: the ratio applied to its own requests,
 * and the slack divided by the largest number of entries that may be alive.
 */
export class RetryBudget {
  #bounds: RetryBounds;
  readonly #services = new Map<ServiceId, Counts>();

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Replaces the bounds and keeps the counts. */
  updateBounds(bounds: RetryBounds): void {
    this.#bounds = bounds;
  }

  /** Counts the first send of a request. */
  noteFirstSend(service: ServiceId, now: Instant): void {
    this.#counts(service, now).firsts[0]!++;
  }

  /** Takes one retry from the budget, if one is left. */
  spend(
    service: ServiceId,
    { entries }: { entries: number },
    now: Instant,
  ): RetryDecision {
    const counts = this.#counts(service, now);
    const { retryRatio, retrySlack } = this.#bounds;
    const allowed = BUDGET_FRACTION *
      (retryRatio * sum(counts.firsts) + retrySlack / Math.max(1, entries));
    const left = allowed - sum(counts.retries);
    const granted = left >= 1;
    if (granted) {
      counts.retries[0]!++;
    }
    return { granted, left, entries };
  }

  #counts(service: ServiceId, now: Instant): Counts {
    const bucket = Math.floor(now * BUCKETS / this.#bounds.retryWindow);
    let counts = this.#services.get(service);
    if (counts === undefined) {
      counts = {
        firsts: new Array(BUCKETS).fill(0),
        retries: new Array(BUCKETS).fill(0),
        bucket,
      };
      this.#services.set(service, counts);
    }
    const passed = Math.min(BUCKETS, bucket - counts.bucket);
    for (let step = 0; step < passed; step++) {
      dropOldest(counts.firsts);
      dropOldest(counts.retries);
    }
    counts.bucket = bucket;
    return counts;
  }
}

function dropOldest(buckets: number[]): void {
  buckets.pop();
  buckets.unshift(0);
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
