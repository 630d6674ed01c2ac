/**
 * Customers' limits without shared state: each entry enforces its part of a customer's rate, by the
 * demand that heartbeats tell of.
 *
 * @module
 */
import type { Blackboard, Member } from "../blackboard/index.ts";
import {
  type CustomerId,
  type Instant,
  type Milliseconds,
} from "../ids/index.ts";
import {
  type CustomerLimit,
  FadingSum,
  LimitBucket,
} from "../customers/index.ts";
import type { Demand } from "../messages/index.ts";
import type { HomedCustomer } from "../text/index.ts";

/** Time constant of the demand average. */
const DEMAND_WINDOW_MS = 5_000;
/** A customer whose whole demand stays below this share of its limit is not divided at all. */
const UNDIVIDED_SHARE = 0.5;
/** An account unused for so long is full again and need not be kept. */
const IDLE_MS = 60_000;

interface Account {
  readonly bucket: LimitBucket;
  /** Requests, fading. */
  readonly asked: FadingSum;
  askedAt: Instant;
}

/** One entry's limits. */
export class DemandParts {
  readonly #board: Blackboard;
  readonly #accounts = new Map<CustomerId, Account>();

  constructor(board: Blackboard) {
    this.#board = board;
  }

  /** Takes one request of a customer's part; otherwise the time until there is one. */
  take(customer: HomedCustomer, now: Instant): Milliseconds | undefined {
    const { limit } = customer;
    if (limit === undefined) {
      return undefined;
    }
    const account = this.#accounts.get(customer.id) ?? newAccount(limit, now);
    this.#accounts.set(customer.id, account);
    account.askedAt = now;
    account.asked.add(1, now);
    account.bucket.rebound(limit);
    const part = this.#share({ customer, limit }, rateOf(account, now));
    account.bucket.refill(part, now);
    return account.bucket.take(1)
      ? undefined
      : account.bucket.waitFor(1, part, now);
  }

  /** Requests a second by customer, for heartbeats. */
  demand(now: Instant): Map<CustomerId, number> {
    const rates = new Map<CustomerId, number>();
    for (const [customer, account] of this.#accounts) {
      if (now - account.askedAt > IDLE_MS) {
        this.#accounts.delete(customer);
      } else {
        rates.set(customer, rateOf(account, now));
      }
    }
    return rates;
  }

  /**
   * This entry's part of a customer's rate.
   *
   * When entries cannot hear each other, each would think itself alone and allow the whole rate: two
   * halves of a split region would let twice the limit through. A member that is not heard therefore
   * counts as taking its equal part.
   */
  #share(
    { customer, limit }: { customer: HomedCustomer; limit: CustomerLimit },
    own: number,
  ): number {
    const members = [...this.#board.membership.members.values()].filter((
      member,
    ) => this.#mayServe(member, customer));
    if (members.some((member) => member.health === "suspect")) {
      return 1 / (members.length + 1);
    }
    let others = 0;
    for (const { record, demand } of members) {
      others += record.zone === this.#board.self.zone
        ? demandOf(demand, customer)
        : 0;
    }
    for (const { news } of this.#board.membership.zones.values()) {
      others += !customer.bound || news.region === customer.home
        ? demandOf(news.demand, customer)
        : 0;
    }
    const whole = own + others;
    return whole < limit.perSecond * UNDIVIDED_SHARE ? 1 : own / whole;
  }

  #mayServe(member: Member, customer: HomedCustomer): boolean {
    return !customer.bound || member.record.region === customer.home;
  }
}

function demandOf(demand: readonly Demand[], customer: HomedCustomer): number {
  return demand.find((item) => item.customer === customer.id)
    ?.requestsPerSecond ?? 0;
}

function newAccount(limit: CustomerLimit, now: Instant): Account {
  return {
    bucket: new LimitBucket(limit, { level: limit.burst, now }),
    asked: new FadingSum(DEMAND_WINDOW_MS),
    askedAt: now,
  };
}

/** Requests a second. */
function rateOf({ asked }: Account, now: Instant): number {
  return asked.of(now) * 1_000 / DEMAND_WINDOW_MS;
}
