/**
 * Units of customers' limits that an entry claims at its aggregator before it admits requests.
 *
 * @module
 */
import type { CustomerId, Instant } from "../ids/index.ts";
import type { CustomerUnits } from "./spending_messages.ts";

/** Time after which an unanswered claim is given up. Covers a round trip inside a region and a busy aggregator. */
const CLAIM_TIMEOUT_MS = 50;
/** Unanswered claims in a row after which none are sent for a while: an earlier version does not answer them. */
const MAX_UNANSWERED_CLAIMS = 3;
const PAUSE_AFTER_UNANSWERED_MS = 5_000;
/** Time after an unanswered claim in which single requests do not wait for the next. */
const SLOW_AFTER_UNANSWERED_MS = 5_000;

/** A claim that has been sent. */
export interface OpenClaim {
  readonly number: number;
  readonly units: readonly CustomerUnits[];
  readonly sentAt: Instant;
}

/** Tracks the outstanding claim and the units that were granted. */
export class LimitClaims {
  readonly #wanted = new Map<CustomerId, number>();
  readonly #granted = new Map<CustomerId, number>();
  #open: OpenClaim | undefined;
  #lastNumber = 0;
  #unanswered = 0;
  #pausedUntil = -Infinity;
  #slowUntil = -Infinity;

  /** Adds a request to the next claim. While one is open, requests wait for its answer instead. */
  want(customer: CustomerId, cost: number): void {
    if (this.#open === undefined) {
      this.#wanted.set(customer, (this.#wanted.get(customer) ?? 0) + cost);
    }
  }

  /** Whether there is anything to claim, to wait for or to settle. */
  get isActive(): boolean {
    return this.isOpen || this.#wanted.size > 0 || this.#granted.size > 0;
  }

  /** Whether a claim waits for its answer. */
  get isOpen(): boolean {
    return this.#open !== undefined;
  }

  /** Whether a claim was not answered in time lately, so that requests would wait in vain. */
  isSlow(now: Instant): boolean {
    return now < this.#slowUntil;
  }

  /** Opens a claim for the wanted units. Returns `undefined` if there are none, or if claims are not answered. */
  open(now: Instant): OpenClaim | undefined {
    const units = [...this.#wanted].map(([customer, units]) => ({
      customer,
      units,
    }));
    this.#wanted.clear();
    const isIdle = this.#open === undefined && now >= this.#pausedUntil;
    if (units.length === 0 || !isIdle) {
      return undefined;
    }
    this.#open = { number: ++this.#lastNumber, units, sentAt: now };
    return this.#open;
  }

  /** Takes over what was granted. Returns `false` for the answer to another claim than the open one. */
  grant(number: number, granted: readonly CustomerUnits[]): boolean {
    if (this.#open?.number !== number) {
      return false;
    }
    this.#open = undefined;
    this.#unanswered = 0;
    granted.forEach(({ customer, units }) =>
      this.#granted.set(customer, units)
    );
    return true;
  }

  /** Uses granted units for a request, which may cost more than is left. Returns whether any were left. */
  use(customer: CustomerId, cost: number): boolean {
    const left = this.#granted.get(customer) ?? 0;
    if (left <= 0) {
      return false;
    }
    this.#granted.set(customer, left - cost);
    return true;
  }

  /**
   * Drops the grants of the last answer and a claim that was not answered in time. Returns the customers of whose
   * units the aggregator may have deducted too many.
   */
  settle(now: Instant): CustomerId[] {
    const unused = [...this.#granted].filter(([, left]) => left > 0);
    this.#granted.clear();
    return [...unused.map(([customer]) => customer), ...this.#expire(now)];
  }

  /** Gives up the open claim. */
  abandon(): void {
    this.#open = undefined;
  }

  #expire(now: Instant): CustomerId[] {
    const claim = this.#open;
    if (claim === undefined || now - claim.sentAt < CLAIM_TIMEOUT_MS) {
      return [];
    }
    this.#open = undefined;
    this.#slowUntil = now + SLOW_AFTER_UNANSWERED_MS;
    this.#unanswered++;
    if (this.#unanswered >= MAX_UNANSWERED_CLAIMS) {
      this.#unanswered = 0;
      this.#pausedUntil = now + PAUSE_AFTER_UNANSWERED_MS;
    }
    return claim.units.map(({ customer }) => customer);
  }
}
