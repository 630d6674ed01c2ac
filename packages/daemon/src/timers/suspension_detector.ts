/**
 * Detects time that the monotonic clock did not count.
 *
 * @module
 */
import type { Milliseconds } from "@sassafrasstep/core";
import { milliseconds } from "@sassafrasstep/core";

/** Smaller differences come from the resolution and the drift of the clocks. */
const MIN_SUSPENSION_MS = 20;

/**
 * Detects that the machine was suspended: the monotonic clock stops during a suspension, the wall clock does
 * not. A forward step of the wall clock counts as a suspension too, so that the age of data may be overstated,
 * but never understated.
 */
export class SuspensionDetector {
  readonly #monotonicClock: () => number;
  readonly #wallClock: () => number;
  /** Wall clock time minus monotonic time. */
  #clockOffset: number;

  constructor(
    monotonicClock = (): number => performance.now(),
    wallClock = (): number => Date.now(),
  ) {
    this.#monotonicClock = monotonicClock;
    this.#wallClock = wallClock;
    this.#clockOffset = wallClock() - monotonicClock();
  }

  /** Returns the total time of suspensions since the last call. */
  take(): Milliseconds {
    const clockOffset = this.#wallClock() - this.#monotonicClock();
    const suspended = clockOffset - this.#clockOffset;
    if (Math.abs(suspended) < MIN_SUSPENSION_MS) {
      return milliseconds(0);
    }
    this.#clockOffset = clockOffset;
    return milliseconds(Math.max(0, suspended));
  }
}
