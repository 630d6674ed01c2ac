/**
 * Sums that fade.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** A sum of which a part is forgotten as time passes. */
export class FadingSum {
  readonly #lifetime: number;
  #sum = 0;
  #at = 0;

  /** `lifetime`: milliseconds in which it falls to 0.37. */
  constructor(lifetime: number) {
    this.#lifetime = lifetime;
  }

  add(amount: number, now: Instant): void {
    this.#sum = Math.max(0, this.of(now) + amount);
    this.#at = now;
  }

  of(now: Instant): number {
    return this.#sum * Math.exp(-Math.max(0, now - this.#at) / this.#lifetime);
  }
}
