/**
 * One entry's view of a customer's limit: a token bucket for the whole limit, or for a share of it.
 *
 * @module
 */
import { type Instant, type Milliseconds, milliseconds } from "../ids/index.ts";
import type { CustomerLimit } from "./customer.ts";

const MS_PER_SECOND = 1_000;

/** A token bucket whose level may become negative. */
export class LimitBucket {
  #limit: CustomerLimit;
  #level: number;
  #refilledAt: Instant;
  /** Time until which future units are reserved for retries of refused requests, one after the other. */
  #reservedUntil: number;

  constructor(
    limit: CustomerLimit,
    { level, now }: { level: number; now: Instant },
  ) {
    this.#limit = limit;
    this.#level = level;
    this.#refilledAt = now;
    this.#reservedUntil = now;
  }

  /** Units left, negative if overdrawn. */
  get level(): number {
    return this.#level;
  }

  /** Units that may be used at once. */
  get capacity(): number {
    return this.#limit.burst;
  }

  /** Refills the bucket at a share of the rate, up to the same share of its capacity. */
  refill(share: number, now: Instant): void {
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / MS_PER_SECOND;
    const shareCapacity = this.#limit.burst * share;
    const room = Math.max(0, shareCapacity - this.#level);
    this.#level = Math.min(this.#level, shareCapacity) +
      Math.min(room, elapsedSeconds * this.#limit.perSecond * share);
    this.#refilledAt = now;
  }

  /** Applies a changed limit. A higher burst is filled at the normal rate rather than at once. */
  setLimit(limit: CustomerLimit): void {
    this.#limit = limit;
  }

  /** Replaces the level by one that another entry reported. */
  setLevel(level: number): void {
    this.#level = level;
  }

  /**
   * Takes the cost of a request, if any units are left. A request may cost more than is left; later requests
   * then wait until the debt is refilled. Otherwise small requests would use up all units and a large one would
   * never fit.
   */
  take(cost: number): boolean {
    if (this.#level <= 0) {
      return false;
    }
    this.#level -= cost;
    return true;
  }

  /** Deducts units used at other entries; a negative cost is a refund. */
  charge(cost: number): void {
    this.#level -= cost;
  }

  /** Time until a refused request would be admitted, behind those that were refused before it. */
  waitFor(cost: number, share: number, now: Instant): Milliseconds {
    const unitsPerMs = this.#limit.perSecond * share / MS_PER_SECOND;
    const free = now + Math.max(0, -this.#level) / unitsPerMs;
    const turn = Math.max(free, this.#reservedUntil);
    this.#reservedUntil = turn + cost / unitsPerMs;
    return milliseconds(Math.max(1, turn - now));
  }
}
