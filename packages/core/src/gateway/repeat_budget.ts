/**
 * How often this entry may send a request to a second endpoint.
 *
 * @module
 */
import type { Instant, ServiceId } from "../ids/index.ts";
import type { GatewayBounds } from "./messages.ts";

/** Part of the fleet's budget that is used: entries count windows that are not quite the same. */
const USED_PART = 0.7;
const BUCKETS = 20;

interface Counts {
  firsts: number[];
  repeats: number[];
  bucket: number;
}

/**
 * When endpoints fail under load, repeats add to the load that makes them fail. The budget is one for
 * all entries, and nobody can add it up without asking all others. So each entry has a part that
 * cannot add up to more than the whole: the ratio of its own requests, and an equal share of the slack
 * by the largest number of entries that may be alive.
 */
export class RepeatBudget {
  #bounds: GatewayBounds;
  readonly #services = new Map<ServiceId, Counts>();

  constructor(bounds: GatewayBounds) {
    this.#bounds = bounds;
  }

  /** Takes new figures; what was counted stays. */
  rebound(bounds: GatewayBounds): void {
    this.#bounds = bounds;
  }

  /** Notes the first send of a request. */
  noteFirst(service: ServiceId, now: Instant): void {
    this.#counts(service, now).firsts[0]!++;
  }

  /** Notes a repeat that could not be asked for, such as one that another entry began. */
  noteRepeat(service: ServiceId, now: Instant): void {
    this.#counts(service, now).repeats[0]!++;
  }

  /** Takes one repeat; `false` where none is left. */
  spend(
    service: ServiceId,
    { entries }: { entries: number },
    now: Instant,
  ): boolean {
    const counts = this.#counts(service, now);
    const { repeatRatio, repeatSlack } = this.#bounds;
    const allowed = USED_PART *
      (repeatRatio * sum(counts.firsts) + repeatSlack / Math.max(1, entries));
    if (sum(counts.repeats) + 1 > allowed) {
      return false;
    }
    counts.repeats[0]!++;
    return true;
  }

  #counts(service: ServiceId, now: Instant): Counts {
    const bucket = Math.floor(now * BUCKETS / this.#bounds.repeatWindow);
    let counts = this.#services.get(service);
    if (counts === undefined) {
      counts = {
        firsts: new Array(BUCKETS).fill(0),
        repeats: new Array(BUCKETS).fill(0),
        bucket,
      };
      this.#services.set(service, counts);
    }
    const passed = Math.min(BUCKETS, bucket - counts.bucket);
    for (let step = 0; step < passed; step++) {
      shift(counts.firsts);
      shift(counts.repeats);
    }
    counts.bucket = bucket;
    return counts;
  }
}

function shift(buckets: number[]): void {
  buckets.pop();
  buckets.unshift(0);
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
