/**
 * Hands out the permits of limited endpoints, for the one entry of a region that does so at present.
 *
 * @module
 */
import { after, type Incarnation, type Instant } from "../ids/index.ts";

const MS_PER_SECOND = 1_000;
/** Time for which unused permits add up, and the least of them. */
const BURST_S = 0.25;
const LEAST_BURST = 1;
/** Whoever asked longer ago has found another way. */
const ASK_LIFETIME_MS = 1_000;
/** A former issuer may hand out permits until it knows of this one. */
export const TAKEOVER_MS = 1_000;

/** Permits of one endpoint. */
export class PermitIssuer {
  readonly #asked = new Map<Incarnation, Instant>();
  /** When each entry last got one: the longest ago goes first. */
  readonly #granted = new Map<Incarnation, Instant>();
  #level: number;
  #at: Instant;

  /** `takesOver`: another entry may have handed out permits a moment ago. */
  constructor({ takesOver }: { takesOver: boolean }, now: Instant) {
    this.#level = takesOver ? 0 : LEAST_BURST;
    this.#at = takesOver ? after(now, TAKEOVER_MS) : now;
  }

  /** Whether somebody waits for a permit. */
  get isAsked(): boolean {
    return this.#asked.size > 0;
  }

  /** An entry wants one permit. */
  ask(entry: Incarnation, now: Instant): void {
    this.#asked.set(entry, now);
  }

  /** Entries that get a permit now, at a rate of so many a second. */
  issue(perSecond: number, now: Instant): Incarnation[] {
    this.#refill(perSecond, now);
    for (const [entry, at] of this.#asked) {
      if (now - at > ASK_LIFETIME_MS) {
        this.#asked.delete(entry);
      }
    }
    const count = Math.min(Math.floor(this.#level), this.#asked.size);
    if (count <= 0) {
      return [];
    }
    this.#level -= count;
    const served = [...this.#asked.keys()]
      .sort((left, right) => this.#grantedAt(left) - this.#grantedAt(right))
      .slice(0, count);
    for (const entry of served) {
      this.#asked.delete(entry);
      this.#granted.set(entry, now);
    }
    return served;
  }

  #refill(perSecond: number, now: Instant): void {
    if (now <= this.#at) {
      return;
    }
    const most = LEAST_BURST + perSecond * BURST_S;
    const grown = (now - this.#at) * perSecond / MS_PER_SECOND;
    this.#level = Math.min(most, this.#level + grown);
    this.#at = now;
  }

  #grantedAt(entry: Incarnation): number {
    return this.#granted.get(entry) ?? -Infinity;
  }
}
