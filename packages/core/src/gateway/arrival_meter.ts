/**
 * Measures the work that arrived within the last second, for each service.
 *
 * @module
 */
import type { Instant, ServiceId } from "../ids/index.ts";

const BUCKET_MS = 100;
const BUCKETS = 10;

interface Buckets {
  readonly work: number[];
  currentBucket: number;
}

/** Sums of arrived work in buckets of a tenth of a second. Work is endpoint milliseconds, or a count of requests. */
export class ArrivalMeter {
  readonly #services = new Map<ServiceId, Buckets>();

  add(service: ServiceId, work: number, now: Instant): void {
    const buckets = this.#advance(service, now);
    buckets.work[buckets.currentBucket % BUCKETS]! += work;
  }

  /** Subtracts work that was added at `at`, unless its bucket has already expired. */
  subtract(service: ServiceId, work: number, at: Instant, now: Instant): void {
    const buckets = this.#advance(service, now);
    const bucket = Math.floor(at / BUCKET_MS);
    if (buckets.currentBucket - bucket < BUCKETS) {
      buckets.work[bucket % BUCKETS]! -= work;
    }
  }

  /** Returns the work that arrived within the last second. */
  lastSecond(service: ServiceId, now: Instant): number {
    return this.#advance(service, now).work.reduce(
      (sum, item) => sum + item,
      0,
    );
  }

  services(): Iterable<ServiceId> {
    return this.#services.keys();
  }

  #advance(service: ServiceId, now: Instant): Buckets {
    const bucket = Math.floor(now / BUCKET_MS);
    let buckets = this.#services.get(service);
    if (buckets === undefined) {
      buckets = { work: new Array(BUCKETS).fill(0), currentBucket: bucket };
      this.#services.set(service, buckets);
    }
    for (let next = buckets.currentBucket + 1; next <= bucket; next++) {
      buckets.work[next % BUCKETS] = 0;
      if (next - buckets.currentBucket > BUCKETS) {
        break;
      }
    }
    buckets.currentBucket = bucket;
    return buckets;
  }
}
