/**
 * Time that the steady clock did not count.
 *
 * @module
 */
import type { Milliseconds } from "@sassafrasstep/core";
import { milliseconds } from "@sassafrasstep/core";

/** Smaller differences are the clocks' own grain and rate. */
const LEAST_MS = 20;

/**
 * Notices that the machine was suspended: the steady clock stands still meanwhile, the time of day does not.
 * A step of the time of day forwards is taken for one too, which makes what is known older than it is, never
 * younger.
 */
export class Suspensions {
  readonly #steady: () => number;
  readonly #timeOfDay: () => number;
  /** Time of day less steady time. */
  #difference: number;

  constructor(
    steady = (): number => performance.now(),
    timeOfDay = (): number => Date.now(),
  ) {
    this.#steady = steady;
    this.#timeOfDay = timeOfDay;
    this.#difference = timeOfDay() - steady();
  }

  /** Time of suspensions since the last call. */
  take(): Milliseconds {
    const difference = this.#timeOfDay() - this.#steady();
    const passed = difference - this.#difference;
    if (Math.abs(passed) < LEAST_MS) {
      return milliseconds(0);
    }
    this.#difference = difference;
    return milliseconds(Math.max(0, passed));
  }
}
