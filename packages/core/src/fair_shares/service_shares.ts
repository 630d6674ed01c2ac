/**
 * What customers have waiting and placed of one service in the region, and the share of each.
 *
 * @module
 */
import type { CustomerLimit } from "../customers/index.ts";
import type { DemandTotals, QueuePosition } from "../demand/index.ts";
import type { CustomerId } from "../ids/index.ts";
import { customerWeights, type Sharer } from "./customer_weights.ts";
import { fairLevel } from "./fair_level.ts";

const MS_PER_SECOND = 1_000;
/** Work that counts against a share: what was placed within this time. The same as that of `PlacedGroup`. */
export const SHARE_WINDOW_MS = 1_000;
/**
 * Work of a request besides its prefill, in prompt tokens: an answer of 200 tokens takes as much of an engine's time.
 */
const REQUEST_WORK_TOKENS = 1_000;
/** Capacity that is assumed while less was placed, as after a restart of all entries: that of one engine. */
const MIN_CAPACITY_TOKENS = 35_000;

/** Work of some requests in prompt tokens. */
export function workOf({ requests, tokens }: DemandTotals): number {
  return tokens + requests * REQUEST_WORK_TOKENS;
}

/** Waiting requests of one customer in one class, in the region and at other entries. */
export interface WaitingTotals {
  readonly region: { requests: number; tokens: number };
  readonly peers: { requests: number; tokens: number };
}

/** What one customer has of the service in the region. */
interface Account {
  /** Work that was placed within `SHARE_WINDOW_MS`. */
  placed: number;
  waiting: number;
  requests: number;
  weight: number;
}

/** The shares of one service, from reports of one moment. */
export class ServiceShares {
  readonly #accounts = new Map<Sharer, Account>();
  /** Waiting requests by class and customer. */
  readonly #classes = new Map<string, Map<Sharer, WaitingTotals>>();
  /** Begin of the time in which placed work counts. */
  readonly #since: number;
  /** Work per second and unit of weight that each customer may have. */
  #level = Infinity;
  #meanWeight = 1;

  constructor(now: number) {
    this.#since = now - SHARE_WINDOW_MS;
  }

  /** Whether there is less capacity than customers ask for. */
  get isContended(): boolean {
    return this.#level < Infinity;
  }

  addPlaced(customer: Sharer, totals: DemandTotals): void {
    const account = this.#accountOf(customer);
    account.placed += workOf(totals);
    account.requests += totals.requests;
  }

  /** Adds requests that wait at this entry or at a peer. */
  addWaiting(
    position: QueuePosition & { customer: Sharer },
    { requests, tokens }: DemandTotals,
    isPeer: boolean,
  ): void {
    const { customer } = position;
    const account = this.#accountOf(customer);
    account.waiting += workOf({ requests, tokens });
    account.requests += requests;
    const { region, peers } = this.#totalsOf(position, customer);
    region.requests += requests;
    region.tokens += tokens;
    peers.requests += isPeer ? requests : 0;
    peers.tokens += isPeer ? tokens : 0;
  }

  /** Works out the level, once all is added. */
  settle(limitOf: (customer: CustomerId) => CustomerLimit | undefined): void {
    const accounts = [...this.#accounts.values()];
    const sum = (value: (account: Account) => number): number =>
      accounts.reduce((total, account) => total + value(account), 0);
    const waiting = sum((account) => account.waiting);
    if (waiting === 0) {
      return;
    }
    const placed = sum((account) => account.placed);
    const requests = sum((account) => account.requests);
    const weights = customerWeights(this.#accounts.keys(), {
      limitOf,
      workPerRequest: (placed + waiting) / Math.max(1, requests),
    });
    for (const [customer, account] of this.#accounts) {
      account.weight = weights.get(customer)!;
    }
    this.#meanWeight = sum(({ weight }) => weight) / accounts.length;
    this.#level = fairLevel(
      accounts.map((account) => ({
        demand: account.placed + account.waiting,
        weight: account.weight,
      })),
      Math.max(placed, MIN_CAPACITY_TOKENS),
    );
  }

  /** Counts work that this entry has placed since. */
  recordPlaced(customer: Sharer, work: number): void {
    this.#accountOf(customer).placed += work;
  }

  /** Until when a customer has had its share: after the present if it had more than that. */
  paidUntil(customer: Sharer): number {
    const placed = this.#accounts.get(customer)?.placed ?? 0;
    return placed === 0 || !this.isContended
      ? this.#since
      : this.#since + this.timeFor(customer, placed);
  }

  /** Milliseconds in which a customer's share is some work. */
  timeFor(customer: Sharer, work: number): number {
    return MS_PER_SECOND * work / (this.#level * this.#weightOf(customer));
  }

  /** Work that is a customer's share in some milliseconds. */
  workIn(customer: Sharer, time: number): number {
    return time * this.#level * this.#weightOf(customer) / MS_PER_SECOND;
  }

  /** Whether a customer gets all that it asks for. */
  isWithinShare(customer: Sharer): boolean {
    const account = this.#accounts.get(customer);
    return account === undefined ||
      account.placed + account.waiting <= account.weight * this.#level;
  }

  /** Number of customers that had more than their share. */
  overShare(now: number): number {
    return !this.isContended
      ? 0
      : [...this.#accounts.keys()].filter((customer) =>
        this.paidUntil(customer) > now
      ).length;
  }

  /** Waiting requests of the same class as a request, by customer. */
  waitingWith(position: QueuePosition): ReadonlyMap<Sharer, WaitingTotals> {
    return this.#classes.get(classOf(position)) ?? new Map();
  }

  /** Waiting requests of the classes that are served before a request's own. */
  *waitingBefore(position: QueuePosition): Iterable<WaitingTotals> {
    for (const [name, waiting] of this.#classes) {
      if (isClassAhead(name, position)) {
        yield* waiting.values();
      }
    }
  }

  #weightOf(customer: Sharer): number {
    return this.#accounts.get(customer)?.weight ?? this.#meanWeight;
  }

  #accountOf(customer: Sharer): Account {
    let account = this.#accounts.get(customer);
    if (account === undefined) {
      const weight = this.#meanWeight;
      account = { placed: 0, waiting: 0, requests: 0, weight };
      this.#accounts.set(customer, account);
    }
    return account;
  }

  #totalsOf(position: QueuePosition, customer: Sharer): WaitingTotals {
    const name = classOf(position);
    let waiting = this.#classes.get(name);
    if (waiting === undefined) {
      waiting = new Map();
      this.#classes.set(name, waiting);
    }
    let totals = waiting.get(customer);
    if (totals === undefined) {
      totals = {
        region: { requests: 0, tokens: 0 },
        peers: { requests: 0, tokens: 0 },
      };
      waiting.set(customer, totals);
    }
    return totals;
  }
}

/** Requests that are ordered among each other by customer. */
export function classOf({ rank, late }: QueuePosition): string {
  return `${late ? 1 : 0} ${rank}`;
}

/** Whether all requests of a class are served before a request at the given position. */
function isClassAhead(name: string, position: QueuePosition): boolean {
  const [late, rank] = name.split(" ").map(Number);
  return late === Number(position.late) ? rank! < position.rank : position.late;
}
