/**
 * A rate whose past counts exponentially less.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Time constant: a burst shows within a second or two, and chance at one of many entries hardly does. */
const DECAY_MS = 2_000;

/** Measures a rate per millisecond. */
export class DecayingRate {
  #value = 0;
  #at: Instant | undefined;

  add(amount: number, now: Instant): void {
    this.#value = this.perMs(now) + amount / DECAY_MS;
    this.#at = now;
  }

  perMs(now: Instant): number {
    return this.#at === undefined
      ? 0
      : this.#value * Math.exp((this.#at - now) / DECAY_MS);
  }
}
