/**
 * Limits how often this entry may send a request to a second endpoint.
 *
 * @module
 */
import type { Instant, ServiceId } from "../ids/index.ts";
import type { GatewayBounds } from "./messages.ts";

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
  #bounds: GatewayBounds;
  readonly #services = new Map<ServiceId, Counts>();

  constructor(bounds: GatewayBounds) {
    this.#bounds = bounds;
  }

  /** Replaces the bounds and keeps the counts. */
  updateBounds(bounds: GatewayBounds): void {
    this.#bounds = bounds;
  }

  /** Counts the first send of a request. */
  noteFirstSend(service: ServiceId, now: Instant): void {
    this.#counts(service, now).firsts[0]!++;
  }

  /** Counts a retry that was made without asking the budget, such as one that another entry began. */
  noteRetry(service: ServiceId, now: Instant): void {
    this.#counts(service, now).retries[0]!++;
  }

  /** Takes one retry from the budget. Returns `false` if none is left. */
  spend(
    service: ServiceId,
    { entries }: { entries: number },
    now: Instant,
  ): boolean {
    const counts = this.#counts(service, now);
    const { retryRatio, retrySlack } = this.#bounds;
    const allowed = BUDGET_FRACTION *
      (retryRatio * sum(counts.firsts) + retrySlack / Math.max(1, entries));
    if (sum(counts.retries) + 1 > allowed) {
      return false;
    }
    counts.retries[0]!++;
    return true;
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
