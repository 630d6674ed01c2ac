/**
 * The rate at which a region places the work of one service while there is more work than room.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Time constant of the smoothed rate. */
const SMOOTHING_MS = 1_500;
/**
 * Contention has to last for this long before placed work shows the capacity: a count covers a second, and
 * entries report to each other only while requests wait.
 */
const MIN_CONTENTION_MS = 1_000;
/**
 * Backlog from which endpoints count as fully used. While only a few requests wait here and there, what is placed is
 * what comes.
 */
const MIN_BACKLOG_MS = 150;
/** Age from which a rate no longer counts: endpoints have come and gone. */
const LIFETIME_MS = 20_000;
/** Rates below this cannot be told from a standstill. */
const MIN_RATE = 0.001;

/** Smooths the measured rate, and forgets it where there has been no contention for a while. */
export class RegionRate {
  #rate: number | undefined;
  #measuredAt: Instant | undefined;
  #observedAt: Instant | undefined;
  #contendedSince: Instant | undefined;

  /** Takes the work that was placed within the last second, and the work that waits. */
  observe(
    { placed, waiting }: { placed: number; waiting: number },
    now: Instant,
  ): void {
    const contended = waiting > 0 &&
      waiting >= (this.#rate ?? 0) * MIN_BACKLOG_MS;
    const elapsed = now - (this.#observedAt ?? now);
    this.#observedAt = now;
    if (!contended) {
      this.#contendedSince = undefined;
      // Without contention, placed work is the work that came. It shows that the capacity is at least as high.
      if (this.#rate !== undefined && placed / 1_000 > this.#rate) {
        this.#set(placed / 1_000, now);
      }
      return;
    }
    this.#contendedSince ??= now;
    if (now - this.#contendedSince < MIN_CONTENTION_MS) {
      return;
    }
    const measured = Math.max(MIN_RATE, placed / 1_000);
    const weight = 1 - Math.exp(-elapsed / SMOOTHING_MS);
    this.#set(
      this.#rate === undefined
        ? measured
        : this.#rate + weight * (measured - this.#rate),
      now,
    );
  }

  /** Units per millisecond, `undefined` if none was measured lately. */
  perMs(now: Instant): number | undefined {
    return this.#measuredAt === undefined ||
        now - this.#measuredAt > LIFETIME_MS
      ? undefined
      : this.#rate;
  }

  #set(rate: number, now: Instant): void {
    this.#rate = rate;
    this.#measuredAt = now;
  }
}
