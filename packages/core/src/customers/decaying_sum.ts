/**
 * Sums with exponential decay.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** A sum that decays exponentially over time. */
export class DecayingSum {
  readonly #timeConstantMs: number;
  #value = 0;
  #updatedAt = 0;

  /** `timeConstantMs`: time in which the sum falls to 37 % (1/e) of its value. */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  add(amount: number, now: Instant): void {
    this.#value = Math.max(0, this.valueAt(now) + amount);
    this.#updatedAt = now;
  }

  valueAt(now: Instant): number {
    return this.#value *
      Math.exp(-Math.max(0, now - this.#updatedAt) / this.#timeConstantMs);
  }
}
