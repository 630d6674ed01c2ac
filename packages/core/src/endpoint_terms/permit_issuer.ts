/**
 * Issues the permits of a limited endpoint, on the entry of the region that is its current issuer.
 *
 * @module
 */
import { after, type Incarnation, type Instant } from "../ids/index.ts";

const MS_PER_SECOND = 1_000;
/** Unused permits accumulate up to the number issued in this time, plus a minimum. */
const BURST_S = 0.25;
const MIN_BURST_PERMITS = 1;
/** Older requests for permits are dropped: the inference requests behind them were sent elsewhere. */
const PERMIT_REQUEST_LIFETIME_MS = 1_000;
/** Time for which a new issuer waits, since the previous one may issue permits until it learns of the change. */
export const TAKEOVER_DELAY_MS = 1_000;

/** Issues the permits of one endpoint at a given rate. */
export class PermitIssuer {
  /** When each waiting entry last requested a permit. */
  readonly #requestedAt = new Map<Incarnation, Instant>();
  /** When each entry last got a permit. The one that has waited longest goes first. */
  readonly #lastGrantedAt = new Map<Incarnation, Instant>();
  #level: number;
  #refilledAt: Instant;

  /** `takesOver`: another entry may just have issued permits. */
  constructor({ takesOver }: { takesOver: boolean }, now: Instant) {
    this.#level = takesOver ? 0 : MIN_BURST_PERMITS;
    this.#refilledAt = takesOver ? after(now, TAKEOVER_DELAY_MS) : now;
  }

  /** Whether any entry is waiting for a permit. */
  get hasRequests(): boolean {
    return this.#requestedAt.size > 0;
  }

  /** Records that an entry wants one permit. */
  request(entry: Incarnation, now: Instant): void {
    this.#requestedAt.set(entry, now);
  }

  /** Returns the entries that get a permit now, at a rate of `perSecond`. */
  issue(perSecond: number, now: Instant): Incarnation[] {
    this.#refill(perSecond, now);
    for (const [entry, at] of this.#requestedAt) {
      if (now - at > PERMIT_REQUEST_LIFETIME_MS) {
        this.#requestedAt.delete(entry);
      }
    }
    const count = Math.min(Math.floor(this.#level), this.#requestedAt.size);
    if (count <= 0) {
      return [];
    }
    this.#level -= count;
    const served = [...this.#requestedAt.keys()]
      .sort((left, right) => this.#grantedAtOf(left) - this.#grantedAtOf(right))
      .slice(0, count);
    for (const entry of served) {
      this.#requestedAt.delete(entry);
      this.#lastGrantedAt.set(entry, now);
    }
    return served;
  }

  #refill(perSecond: number, now: Instant): void {
    if (now <= this.#refilledAt) {
      return;
    }
    const maxLevel = MIN_BURST_PERMITS + perSecond * BURST_S;
    const refilled = (now - this.#refilledAt) * perSecond / MS_PER_SECOND;
    this.#level = Math.min(maxLevel, this.#level + refilled);
    this.#refilledAt = now;
  }

  #grantedAtOf(entry: Incarnation): number {
    return this.#lastGrantedAt.get(entry) ?? -Infinity;
  }
}
