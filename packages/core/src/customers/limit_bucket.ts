/**
 * One customer's allowance as one entry sees it: a token bucket of the whole fleet, or of a part of it.
 *
 * @module
 */
import { type Instant, type Milliseconds, milliseconds } from "../ids/index.ts";
import type { CustomerLimit } from "./customer.ts";

const MS_PER_SECOND = 1_000;

/** A token bucket that may go into debt. */
export class LimitBucket {
  #limit: CustomerLimit;
  #level: number;
  #at: Instant;
  /** When those that were turned away would have been served, one after the other. */
  #promisedUntil: number;

  constructor(
    limit: CustomerLimit,
    { level, now }: { level: number; now: Instant },
  ) {
    this.#limit = limit;
    this.#level = level;
    this.#at = now;
    this.#promisedUntil = now;
  }

  /** Units that are left, below 0 in debt. */
  get level(): number {
    return this.#level;
  }

  /** Units that may be asked for at once. */
  get most(): number {
    return this.#limit.burst;
  }

  /** Fills up by a part of the rate, to the same part of the most. */
  refill(part: number, now: Instant): void {
    const passed = Math.max(0, now - this.#at) / MS_PER_SECOND;
    const most = this.#limit.burst * part;
    const room = Math.max(0, most - this.#level);
    this.#level = Math.min(this.#level, most) +
      Math.min(room, passed * this.#limit.perSecond * part);
    this.#at = now;
  }

  /** Takes new figures. What a higher burst allows is not given at once. */
  rebound(limit: CustomerLimit): void {
    this.#limit = limit;
  }

  /** Begins anew at the level that another entry told. */
  adopt(level: number): void {
    this.#level = level;
  }

  /**
   * Takes what a request costs. One that is larger than what is left is let in as long as anything is left,
   * and the next ones wait for it: otherwise small requests would take all, and large ones never fit.
   */
  take(cost: number): boolean {
    if (this.#level <= 0) {
      return false;
    }
    this.#level -= cost;
    return true;
  }

  /** What was taken elsewhere, or, below 0, given back. */
  charge(cost: number): void {
    this.#level -= cost;
  }

  /** Until a request that was turned away would be let in, behind those that were before it. */
  waitFor(cost: number, part: number, now: Instant): Milliseconds {
    const rate = this.#limit.perSecond * part / MS_PER_SECOND;
    const free = now + Math.max(0, -this.#level) / rate;
    const turn = Math.max(free, this.#promisedUntil);
    this.#promisedUntil = turn + cost / rate;
    return milliseconds(Math.max(1, turn - now));
  }
}
