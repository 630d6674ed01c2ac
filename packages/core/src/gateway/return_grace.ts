/**
 * How long records that are missing after a return of the platform are not believed to be.
 *
 * @module
 */
import { after, type Instant, instant } from "../ids/index.ts";

/**
 * Records run out while the platform is down, and a copy lacks the youngest: they are written again within
 * two seconds of its return. Dropping them at once would leave nothing to serve from.
 */
const GRACE_MS = 2_200;
/**
 * After a restore, the same since the last moment at which it had not happened. It may be noticed seconds
 * late, and an endpoint that was removed right after it would be used for as much longer.
 */
const LONGEST_GRACE_MS = 3_200;

/** Keeps the end of the grace. */
export class ReturnGrace {
  #beforeAt: Instant;
  #end: Instant | undefined;

  constructor(now: Instant) {
    this.#beforeAt = now;
  }

  /** The platform was not restored yet, as it answered or failed at that instant. */
  noteBefore(at: Instant): void {
    this.#beforeAt = at;
  }

  /** A first answer after an absence has come. */
  noteReturn(now: Instant): void {
    this.#end = after(now, GRACE_MS);
  }

  /** A first answer of another epoch has come. */
  noteRestore(now: Instant): void {
    this.#end = instant(
      Math.min(after(now, GRACE_MS), after(this.#beforeAt, LONGEST_GRACE_MS)),
    );
  }

  /** Until when a record that goes missing now is kept, `undefined` for not at all. */
  keptUntil(now: Instant): Instant | undefined {
    return this.#end !== undefined && now < this.#end ? this.#end : undefined;
  }

  /** The same while the platform does not answer. */
  keptWhileAway(now: Instant): Instant {
    return after(now, GRACE_MS);
  }
}
