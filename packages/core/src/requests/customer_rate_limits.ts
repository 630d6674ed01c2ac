/**
 * Customers' rate limits without shared state: each entry enforces a share of a customer's limit, calculated
 * from the demand that entries report in heartbeats.
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
  DecayingSum,
  LimitBucket,
} from "../customers/index.ts";
import type { CustomerDemand } from "../messages/index.ts";
import type { ConfiguredCustomer } from "../text/index.ts";

/** Time constant of the moving average of demand. */
const DEMAND_WINDOW_MS = 5_000;
/** The limit is not divided between entries while the total demand is below this fraction of it. */
const UNDIVIDED_DEMAND_FRACTION = 0.5;
/** Accounts without requests for this time are removed: their bucket is full again. */
const ACCOUNT_LIFETIME_MS = 60_000;

interface Account {
  readonly bucket: LimitBucket;
  /** Exponentially decaying count of requests. */
  readonly requests: DecayingSum;
  lastRequestAt: Instant;
}

/** Rate limits of customers at one entry. */
export class CustomerRateLimits {
  readonly #board: Blackboard;
  readonly #accounts = new Map<CustomerId, Account>();

  constructor(board: Blackboard) {
    this.#board = board;
  }

  /** Charges one request against the customer's share. Returns the time to wait if the share is used up. */
  take(customer: ConfiguredCustomer, now: Instant): Milliseconds | undefined {
    const { limit } = customer;
    if (limit === undefined) {
      return undefined;
    }
    const account = this.#accounts.get(customer.id) ?? newAccount(limit, now);
    this.#accounts.set(customer.id, account);
    account.lastRequestAt = now;
    account.requests.add(1, now);
    account.bucket.setLimit(limit);
    const share = this.#shareOf({ customer, limit }, rateOf(account, now));
    account.bucket.refill(share, now);
    return account.bucket.take(1)
      ? undefined
      : account.bucket.waitFor(1, share, now);
  }

  /** Returns the requests per second of each customer, for heartbeats. */
  demand(now: Instant): Map<CustomerId, number> {
    const rates = new Map<CustomerId, number>();
    for (const [customer, account] of this.#accounts) {
      if (now - account.lastRequestAt > ACCOUNT_LIFETIME_MS) {
        this.#accounts.delete(customer);
      } else {
        rates.set(customer, rateOf(account, now));
      }
    }
    return rates;
  }

  /**
   * Returns this entry's share of a customer's limit.
   *
   * In a network partition, each side would see no demand at the other and allow the whole limit, twice the
   * limit in total for two halves of a region. While a member is suspect, the limit is therefore divided
   * equally between all members.
   */
  #shareOf(
    { customer, limit }: { customer: ConfiguredCustomer; limit: CustomerLimit },
    ownDemand: number,
  ): number {
    const members = [...this.#board.membership.members.values()].filter((
      member,
    ) => this.#mayServe(member, customer));
    if (members.some((member) => member.health === "suspect")) {
      return 1 / (members.length + 1);
    }
    let otherDemand = 0;
    for (const { record, demand } of members) {
      otherDemand += record.zone === this.#board.self.zone
        ? demandOf(demand, customer)
        : 0;
    }
    for (const { news } of this.#board.membership.zones.values()) {
      otherDemand += !customer.bound || news.region === customer.home
        ? demandOf(news.demand, customer)
        : 0;
    }
    const totalDemand = ownDemand + otherDemand;
    return totalDemand < limit.perSecond * UNDIVIDED_DEMAND_FRACTION
      ? 1
      : ownDemand / totalDemand;
  }

  #mayServe(member: Member, customer: ConfiguredCustomer): boolean {
    return !customer.bound || member.record.region === customer.home;
  }
}

function demandOf(
  demand: readonly CustomerDemand[],
  customer: ConfiguredCustomer,
): number {
  return demand.find((item) => item.customer === customer.id)
    ?.requestsPerSecond ?? 0;
}

function newAccount(limit: CustomerLimit, now: Instant): Account {
  return {
    bucket: new LimitBucket(limit, { level: limit.burst, now }),
    requests: new DecayingSum(DEMAND_WINDOW_MS),
    lastRequestAt: now,
  };
}

/** Returns the requests per second. */
function rateOf({ requests }: Account, now: Instant): number {
  return requests.valueAt(now) * 1_000 / DEMAND_WINDOW_MS;
}
