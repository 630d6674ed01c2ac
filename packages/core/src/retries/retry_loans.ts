/**
 * Parts of retries that entries of a region lend each other. Needs are uneven: an endpoint that ends breaks many streams of
 * one entry, while the parts of the others are not used.
 *
 * A lender counts a loan as spent before it tells the borrower. So a message that is lost, or an entry that ends, only
 * reduces the retries that are made, and nobody has to know which entries are alive.
 *
 * @module
 */
import type {
  Incarnation,
  Instant,
  Randomness,
  ServiceId,
} from "../ids/index.ts";
import { sample } from "../ids/index.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { SlackShare } from "./slack_share.ts";

/** Entries that are asked at the same time. */
const LENDERS_PER_ASK = 2;
/** Time between two asks for the same service. */
const ASK_INTERVAL_MS = 40;
/** A loan that arrives later than this after it was asked for is void: its lender counts it in an earlier window. */
const MAX_LOAN_AGE_MS = 300;

/** A message between two entries of a region. */
export interface RetryLoanMessage {
  readonly kind: "ask" | "loan";
  readonly from: Incarnation;
  readonly service: ServiceId;
  /** Retries that are wanted or lent, a fraction included. */
  readonly amount: number;
}

/** Dependencies of `RetryLoans`. */
export interface RetryLoanDependencies {
  readonly self: Incarnation;
  readonly budget: RetryBudget;
  readonly random: Randomness;
  /** This entry's share of the fleet's slack. */
  readonly slackShare: (now: Instant) => SlackShare;
  /** Live entries of the region, without this one. */
  readonly peers: () => readonly Incarnation[];
  readonly send: (to: Incarnation, message: RetryLoanMessage) => void;
}

/** Asks other entries of the region for retries, and lends them some. */
export class RetryLoans {
  /** Retries that were borrowed and lent since the start. */
  readonly counts = { borrowed: 0, lent: 0 };
  readonly #deps: RetryLoanDependencies;
  readonly #askedAt = new Map<ServiceId, Instant>();

  constructor(deps: RetryLoanDependencies) {
    this.#deps = deps;
  }

  /** Asks some entries for what is missing to one more retry. Returns `false` if there is nobody to ask. */
  ask(service: ServiceId, now: Instant): boolean {
    const { self, budget, random, slackShare, peers, send } = this.#deps;
    const candidates = peers();
    if (candidates.length === 0) {
      return false;
    }
    const askedAt = this.#askedAt.get(service) ?? -Infinity;
    if (now - askedAt >= ASK_INTERVAL_MS) {
      this.#askedAt.set(service, now);
      const amount = budget.missing(service, slackShare(now), now);
      sample(candidates, LENDERS_PER_ASK, random).forEach((to) =>
        send(to, { kind: "ask", from: self, service, amount })
      );
    }
    return true;
  }

  /** Handles a message of another entry. Returns whether this entry may have more retries left now. */
  receive(
    { kind, from, service, amount }: RetryLoanMessage,
    now: Instant,
  ): boolean {
    return kind === "ask"
      ? this.#lend(from, { service, wanted: amount }, now)
      : this.#borrow(service, amount, now);
  }

  #lend(
    to: Incarnation,
    { service, wanted }: { service: ServiceId; wanted: number },
    now: Instant,
  ): false {
    const { self, budget, slackShare, send } = this.#deps;
    const share = slackShare(now);
    const amount = budget.lend(service, { share, wanted }, now);
    if (amount > 0) {
      this.counts.lent += amount;
      send(to, { kind: "loan", from: self, service, amount });
    }
    return false;
  }

  #borrow(service: ServiceId, amount: number, now: Instant): boolean {
    const askedAt = this.#askedAt.get(service) ?? -Infinity;
    const isValid = now - askedAt <= MAX_LOAN_AGE_MS;
    if (isValid) {
      this.counts.borrowed += amount;
      this.#deps.budget.borrow(service, amount, now);
    }
    return isValid;
  }
}
