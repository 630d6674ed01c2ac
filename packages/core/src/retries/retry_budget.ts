/**
 * Limits how often this entry sends requests to a second endpoint.
 *
 * @module
 */
import {
  type Instant,
  type Milliseconds,
  milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import { BucketCounter } from "./bucket_counter.ts";
import { type SlackShare, slackWithin } from "./slack_share.ts";

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
  /** The entry's part of the slack. */
  readonly share: SlackShare;
}

/**
 * Fraction of the fleet's budget that is used: a retry arrives a little later than it is sent, so that more of them can
 * fall into a window of an endpoint than into one of the entries.
 */
const BUDGET_FRACTION = 0.9;
const BUCKETS_PER_WINDOW = 20;
/** Fraction of what an entry has left that it lends to one that asks. */
const LENT_FRACTION = 0.5;
/** Smallest part of a retry that is worth a message. */
const MIN_LOAN = 0.05;
/** The requests of a window and of the one before it count half each: the larger of the two is allowed. */
const WINDOWS_OF_REQUESTS = 2;

/** What counts for one service. */
interface ServiceCounts {
  readonly requests: BucketCounter;
  /** Retries that were made, and parts that were lent to other entries. */
  readonly retries: BucketCounter;
  /** What other entries lent. */
  readonly loans: BucketCounter;
}

/**
 * Budget for retries. When endpoints fail under load, retries add to the load that makes them fail. The bound holds for
 * all entries together, for any window, and also while entries cannot reach each other or have just started.
 *
 * So no entry relies on knowing what others spend. Each keeps to a part of the bound, and all parts add up to no more than
 * the whole: a fraction of the requests that its own callers send, and its share of the slack. Both are checked for each
 * window that ends now, so that a retry that is granted never overdraws a window that began earlier.
 */
export class RetryBudget {
  #bounds: RetryBounds;
  readonly #roundsUpFrom: number;
  #startedAt: Instant;
  readonly #services = new Map<ServiceId, ServiceCounts>();

  /**
   * `roundsUpFrom`, from 0 to 1, is the fraction of a retry that is rounded up to a whole one. Where it is spread evenly
   * over the entries, rounding changes their sum little. Rounded down by all, the parts of a large fleet add up to much less
   * than the whole, and a part below 1 is never used.
   */
  constructor(
    bounds: RetryBounds,
    { roundsUpFrom }: { roundsUpFrom: number },
    now: Instant,
  ) {
    this.#bounds = bounds;
    this.#roundsUpFrom = roundsUpFrom;
    this.#startedAt = now;
  }

  /**
   * Replaces the bounds and keeps the counts. Those of windows of another length are of no use: the budget then begins anew,
   * without a burst, like that of a process that has just started.
   */
  updateBounds(bounds: RetryBounds, now: Instant): void {
    if (bounds.retryWindow !== this.#bounds.retryWindow) {
      this.#services.clear();
      this.#startedAt = now;
    }
    this.#bounds = bounds;
  }

  /** Counts a request that a caller sent to this entry. */
  recordRequest(service: ServiceId, now: Instant): void {
    this.#countsOf(service).requests.add(now);
  }

  /** Takes one retry from the budget, if one is left. */
  spend(service: ServiceId, share: SlackShare, now: Instant): RetryDecision {
    const left = this.left(service, share, now);
    const granted = left > 0 && left >= this.#roundsUpFrom;
    if (granted) {
      this.#countsOf(service).retries.add(now);
    }
    return { granted, left, share };
  }

  /** Gives back a retry that was taken at an instant and not made. */
  refund(service: ServiceId, spentAt: Instant): void {
    this.#countsOf(service).retries.remove(spentAt);
  }

  /** Lends another entry up to an amount of what is left. Returns how much, 0 if there is nothing to spare. */
  lend(
    service: ServiceId,
    { share, wanted }: { share: SlackShare; wanted: number },
    now: Instant,
  ): number {
    const spare = this.left(service, share, now) * LENT_FRACTION;
    const amount = Math.min(wanted, spare);
    if (amount < MIN_LOAN) {
      return 0;
    }
    this.#countsOf(service).retries.add(now, amount);
    return amount;
  }

  /** Adds what another entry has just lent. It counts in the windows in which it is spent there. */
  borrow(service: ServiceId, amount: number, now: Instant): void {
    this.#countsOf(service).loans.add(now, amount);
  }

  /** How much has to be borrowed before another retry is granted. */
  missing(service: ServiceId, share: SlackShare, now: Instant): number {
    const left = this.left(service, share, now);
    return Math.max(MIN_LOAN, this.#roundsUpFrom - left);
  }

  /** Retries that may still be made now: the least that any window has left. */
  left(service: ServiceId, share: SlackShare, now: Instant): number {
    const counts = this.#countsOf(service);
    const requests = counts.requests.sums(now);
    const retries = counts.retries.sums(now);
    const loans = counts.loans.sums(now);
    const { retryRatio } = this.#bounds;
    const bucketMs = this.#bucketMs;
    let left = Infinity;
    for (let age = 0; age <= BUCKETS_PER_WINDOW; age++) {
      const from = counts.retries.startOf(now, age);
      // A window may begin anywhere in its first bucket.
      const elapsed = Math.max(0, now - from - bucketMs);
      const base = requests[age + BUCKETS_PER_WINDOW - 1]! /
        WINDOWS_OF_REQUESTS;
      const allowed = BUDGET_FRACTION *
        (retryRatio * base + this.#slackOf(share, { from, elapsed }, now));
      left = Math.min(left, allowed - retries[age]! + loans[age]!);
    }
    return left;
  }

  #slackOf(
    share: SlackShare,
    { from, elapsed }: { from: number; elapsed: number },
    now: Instant,
  ): number {
    const { retrySlack, retryWindow } = this.#bounds;
    const beganBefore = from <= this.#startedAt;
    return slackWithin(retrySlack * share.fraction, {
      beganBefore,
      windowFraction: (beganBefore ? now - this.#startedAt : elapsed) /
        retryWindow,
    });
  }

  get #bucketMs(): number {
    return this.#bounds.retryWindow / BUCKETS_PER_WINDOW;
  }

  #countsOf(service: ServiceId): ServiceCounts {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      const bucket = milliseconds(this.#bucketMs);
      counts = {
        requests: new BucketCounter(
          bucket,
          WINDOWS_OF_REQUESTS * BUCKETS_PER_WINDOW + 1,
        ),
        retries: new BucketCounter(bucket, BUCKETS_PER_WINDOW + 1),
        loans: new BucketCounter(bucket, BUCKETS_PER_WINDOW + 1),
      };
      this.#services.set(service, counts);
    }
    return counts;
  }
}
