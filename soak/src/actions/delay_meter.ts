/**
 * Measures how long this process, which is callers, links and endpoints at once, was kept from its work.
 *
 * @module
 */

const SAMPLE_INTERVAL_MS = 20;
/** Timers are this late on a quiet machine. */
const MIN_DELAY_MS = 10;

/** A time at which a timer was late. */
interface Delay {
  readonly at: number;
  readonly ms: number;
}

/** Samples delays until it is stopped. */
export class DelayMeter {
  readonly #delays: Delay[] = [];
  #lastAt = performance.now();
  readonly #timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);

  /** Sum of all delays in a span of time. */
  within(from: number, to: number): number {
    return this.#delays.reduce(
      (sum, { at, ms }) => at >= from && at - ms <= to ? sum + ms : sum,
      0,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const now = performance.now();
    const ms = now - this.#lastAt - SAMPLE_INTERVAL_MS;
    this.#lastAt = now;
    if (ms > MIN_DELAY_MS) {
      this.#delays.push({ at: now, ms });
    }
  }
}
