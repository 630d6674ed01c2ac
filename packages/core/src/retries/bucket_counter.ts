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

  /** Counts an event, or an amount of it. */
  add(now: Instant, amount = 1): void {
    this.#advance(now);
    this.#counts[this.#slot(this.#newest)]! += amount;
  }

  /** Takes back an event that was counted at an instant. */
  remove(countedAt: Instant): void {
    const bucket = this.#bucketOf(countedAt);
    const slot = this.#slot(bucket);
    const isKept = bucket > this.#newest - this.#counts.length;
    if (isKept) {
      this.#counts[slot] = Math.max(0, this.#counts[slot]! - 1);
    }
  }

  /**
   * Returns for each number of buckets how many events they have, together with the bucket in progress: at index 0 those
   * of the bucket in progress alone.
   */
  sums(now: Instant): number[] {
    this.#advance(now);
    const { length } = this.#counts;
    const sums = new Array<number>(length);
    let slot = this.#slot(this.#newest);
    let sum = 0;
    for (let age = 0; age < length; age++) {
      sum += this.#counts[slot]!;
      sums[age] = sum;
      slot = slot === 0 ? length - 1 : slot - 1;
    }
    return sums;
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
