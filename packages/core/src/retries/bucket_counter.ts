/**
 * Counts events in buckets of equal length.
 *
 * @module
 */
import type { Instant, Milliseconds } from "../ids/index.ts";

/** Counts the events of the most recent buckets; the last of them is in progress. */
export class BucketCounter {
  readonly #bucketMs: Milliseconds;
  /** A ring, indexed by the number of the bucket. */
  readonly #counts: number[];
  /** Number of the newest bucket. */
  #newest = -Infinity;

  constructor(bucketMs: Milliseconds, buckets: number) {
    this.#bucketMs = bucketMs;
    this.#counts = new Array(buckets).fill(0);
  }

  /** Counts an event. */
  add(now: Instant): void {
    this.#advance(now);
    this.#counts[this.#slot(this.#newest)]!++;
  }

  /** Takes back an event that was counted at an instant. */
  remove(countedAt: Instant): void {
    const bucket = this.#bucketOf(countedAt);
    const slot = this.#slot(bucket);
    const isKept = bucket > this.#newest - this.#counts.length;
    if (isKept && this.#counts[slot]! > 0) {
      this.#counts[slot]!--;
    }
  }

  /** Number of events in the bucket in progress and in the given number of buckets before it. */
  sum(now: Instant, bucketsBefore: number): number {
    this.#advance(now);
    const count = Math.min(bucketsBefore + 1, this.#counts.length);
    let sum = 0;
    for (let age = 0; age < count; age++) {
      sum += this.#counts[this.#slot(this.#newest - age)]!;
    }
    return sum;
  }

  /** When the bucket began that is the given number of buckets before the one in progress. */
  startOf(now: Instant, bucketsBefore: number): number {
    return (this.#bucketOf(now) - bucketsBefore) * this.#bucketMs;
  }

  /** Clears the buckets that have been passed since the last call. */
  #advance(now: Instant): void {
    const bucket = this.#bucketOf(now);
    const passed = Math.min(this.#counts.length, bucket - this.#newest);
    for (let age = 0; age < passed; age++) {
      this.#counts[this.#slot(bucket - age)] = 0;
    }
    this.#newest = Math.max(this.#newest, bucket);
  }

  #bucketOf(at: Instant): number {
    return Math.floor(at / this.#bucketMs);
  }

  #slot(bucket: number): number {
    const { length } = this.#counts;
    return ((bucket % length) + length) % length;
  }
}
