/**
 * Shares a region's endpoints among customers by weighted max-min fairness while requests wait.
 *
 * Each entry knows what all entries of its region have waiting and what they sent within the last second. From both it
 * works out the level at which the capacity is used up: each customer gets what it asks for, at most its weight times
 * the level. A customer's virtual clock is ahead of time by what it got beyond that, so that its requests queue behind
 * its own at every entry, whichever entry they reach.
 *
 * @module
 */
import type { CustomerLimit } from "../customers/index.ts";
import type {
  DemandReport,
  DemandTotals,
  PlacedGroup,
  QueuePosition,
  RegionDemand,
} from "../demand/index.ts";
import type { CustomerId, Instant, ServiceId } from "../ids/index.ts";
import { customerWeights, type Sharer } from "./customer_weights.ts";
import { fairLevel } from "./fair_level.ts";

const MS_PER_SECOND = 1_000;
/** Work that counts against a share: what was placed within this time. The same as that of `PlacedGroup`. */
export const SHARE_WINDOW_MS = 1_000;
/**
 * Shares are worked out again after this time at the earliest while requests are placed or queued, and after a time in
 * proportion to the groups of all reports, so that large regions take the same part of an entry's processor.
 */
const MIN_REFRESH_PERIOD_MS = 50;
const REFRESH_MS_PER_GROUP = 1 / 16;
/**
 * By how much a customer's clock may be ahead before its requests are moved back: what other entries have placed is
 * known with this delay, and a burst as short as that needs no correction.
 */
const CLOCK_TOLERANCE_MS = 200;
/**
 * Longest time for which endpoints with room are left to others that wait at other entries. If they have room all the
 * while, those others can't use it.
 */
export const MAX_YIELD_MS = 250;
/** Requests are tried at least this often. After a longer gap it isn't known whether endpoints had room all the while. */
const MAX_TRIAL_GAP_MS = 100;
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

/** A request in the queue of this entry. */
export interface WaitingRequest extends QueuePosition {
  readonly customer: Sharer;
  /** When it would be served if there were no other requests of its customer. */
  readonly virtualArrival: number;
  /** Prompt tokens that an engine would have to prefill. */
  readonly tokens: number;
}

/** Dependencies of `FairShares`. */
export interface FairShareSources {
  readonly demand: Pick<RegionDemand, "own" | "peerReports">;
  readonly isOn: () => boolean;
  readonly limitOf: (customer: CustomerId) => CustomerLimit | undefined;
  /** What this entry sent to endpoints within the last second. */
  readonly placedHere: (now: Instant) => readonly PlacedGroup[];
}

/** What one customer has of a service in the region. */
interface Account {
  /** Work that was placed within `SHARE_WINDOW_MS`. */
  placed: number;
  requests: number;
  waiting: number;
  weight: number;
}

/** Waiting requests of one customer in one class, in the region and at other entries. */
interface WaitingTotals {
  readonly region: { requests: number; tokens: number };
  readonly peers: { requests: number; tokens: number };
}

/** Requests of one service. */
interface ServiceShares {
  readonly accounts: Map<Sharer, Account>;
  /** Waiting requests by class, which are rank and lateness, and customer. */
  readonly classes: Map<string, Map<Sharer, WaitingTotals>>;
  /** Work per second and unit of weight that each customer may have, `Infinity` while there is enough for all. */
  level: number;
}

/** Since when room at endpoints was left to others without a break. */
interface YieldPeriod {
  readonly since: Instant;
  lastAt: Instant;
}

/** Gives each customer its share of a region's endpoints. */
export class FairShares {
  readonly #sources: FairShareSources;
  readonly #services = new Map<ServiceId, ServiceShares>();
  #refreshedAt: Instant | undefined;
  #refreshPeriodMs = MIN_REFRESH_PERIOD_MS;
  #groups = 0;
  readonly #yieldPeriods = new Map<ServiceId, YieldPeriod>();
  #yielded = 0;

  constructor(sources: FairShareSources) {
    this.#sources = sources;
  }

  /** Number of times that a request left an endpoint to others since the start. */
  get yielded(): number {
    return this.#yielded;
  }

  /** Whether the order of service differs from that of an entry by itself: requests wait, and shares are in use. */
  isContended(now: Instant): boolean {
    if (!this.#sources.isOn()) {
      return false;
    }
    this.#refresh(now);
    return [...this.#services.values()].some(({ level }) => level < Infinity);
  }

  /** Customers that had more than their share within the last second. */
  overShare(now: Instant): number {
    if (!this.isContended(now)) {
      return 0;
    }
    return [...this.#services.values()].reduce(
      (sum, shares) =>
        sum +
        [...shares.accounts.keys()].filter((customer) =>
          this.#paidUntil(shares, customer) > now
        ).length,
      0,
    );
  }

  /** Counts work that this entry sends to an endpoint. */
  recordPlaced(
    service: ServiceId,
    { customer, tokens }: { customer: Sharer; tokens: number },
  ): void {
    const account = this.#services.get(service)?.accounts.get(customer);
    if (account !== undefined) {
      account.placed += workOf({ requests: 1, tokens });
    }
  }

  /**
   * Returns the virtual start times of queued requests, by which those of one rank and lateness are served. The
   * requests of one customer must be in their order of service.
   */
  startTimes(requests: readonly WaitingRequest[], now: Instant): number[] {
    this.#refresh(now);
    const own = new Map<string, { work: number; ahead: number }>();
    const keyOf = (request: WaitingRequest): string =>
      `${request.service} ${classOf(request)} ${request.customer ?? ""}`;
    for (const request of requests) {
      const key = keyOf(request);
      const queue = own.get(key) ?? { work: 0, ahead: 0 };
      queue.work += workOf({ requests: 1, tokens: request.tokens });
      own.set(key, queue);
    }
    return requests.map((request) => {
      const { service, customer, virtualArrival, tokens } = request;
      const shares = this.#services.get(service);
      if (shares === undefined || shares.level === Infinity) {
        return virtualArrival;
      }
      const queue = own.get(keyOf(request))!;
      const work = workOf({ requests: 1, tokens });
      const waiting = shares.classes.get(classOf(request))?.get(customer);
      const peerWork = waiting === undefined ? 0 : workOf(waiting.peers);
      // Where in its customer's queue of the whole region a request is: as far as in that of this entry.
      const region = 1 + peerWork / queue.work;
      const ahead = (queue.ahead + work / 2) * region - work / 2;
      queue.ahead += work;
      return Math.max(
        virtualArrival,
        this.#paidUntil(shares, customer) - CLOCK_TOLERANCE_MS,
      ) + MS_PER_SECOND * ahead / this.#rateOf(shares, customer);
    });
  }

  /**
   * Whether a request that could be sent leaves the endpoint to others: its customer has had its share, and more
   * requests of customers that ask for less than theirs wait at other entries than endpoints have room for. After
   * `MAX_YIELD_MS` in which endpoints had room without a break, one request takes it.
   */
  mustYield(
    request: QueuePosition & { customer: Sharer },
    roomOf: () => DemandTotals,
    now: Instant,
  ): boolean {
    if (!this.isContended(now)) {
      return false;
    }
    const shares = this.#services.get(request.service);
    if (
      shares === undefined ||
      this.#paidUntil(shares, request.customer) + CLOCK_TOLERANCE_MS < now
    ) {
      return false;
    }
    let requests = 0;
    let tokens = 0;
    for (
      const [customer, waiting] of shares.classes.get(classOf(request)) ?? []
    ) {
      if (customer !== request.customer && isWithinShare(shares, customer)) {
        requests += waiting.peers.requests;
        tokens += waiting.peers.tokens;
      }
    }
    if (requests === 0) {
      return false;
    }
    const room = roomOf();
    const yields = (requests >= room.requests || tokens >= room.tokens) &&
      this.#mayYield(request.service, now);
    this.#yielded += Number(yields);
    return yields;
  }

  /** Notes that endpoints of a service had no room for a request. */
  noteBusy(service: ServiceId): void {
    this.#yieldPeriods.delete(service);
  }

  /** Milliseconds until a new request of a customer is served in virtual time, behind what waits of its customer. */
  delayOf(position: QueuePosition, customer: Sharer, now: Instant): number {
    this.#refresh(now);
    const shares = this.#services.get(position.service);
    return shares === undefined || shares.level === Infinity
      ? 0
      : this.#startOf(shares, { position, customer }, now) - now;
  }

  #mayYield(service: ServiceId, now: Instant): boolean {
    const period = this.#yieldPeriods.get(service);
    if (period === undefined || now - period.lastAt > MAX_TRIAL_GAP_MS) {
      this.#yieldPeriods.set(service, { since: now, lastAt: now });
      return true;
    }
    period.lastAt = now;
    if (now - period.since < MAX_YIELD_MS) {
      return true;
    }
    this.#yieldPeriods.delete(service);
    return false;
  }

  /**
   * What waits in the region and is served before a new request of a customer, or together with it. At most what
   * `RegionDemand.waitingAhead` returns, which is what is returned while there is no contention.
   */
  waitingAheadOf(
    position: QueuePosition,
    customer: Sharer,
    now: Instant,
  ): DemandTotals {
    this.#refresh(now);
    const shares = this.#services.get(position.service);
    let requests = 0;
    let tokens = 0;
    const add = (totals: DemandTotals, part: number): void => {
      requests += totals.requests * part;
      tokens += totals.tokens * part;
    };
    const ownClass = classOf(position);
    const startsAt = shares === undefined
      ? now
      : this.#startOf(shares, { position, customer }, now);
    for (const [name, waiting] of shares?.classes ?? []) {
      if (name !== ownClass && !isClassAhead(name, position)) {
        continue;
      }
      for (const [other, totals] of waiting) {
        const isWhole = name !== ownClass || other === customer;
        add(
          totals.region,
          isWhole
            ? 1
            : this.#partBefore(shares!, { customer: other, totals }, startsAt),
        );
      }
    }
    return { requests, tokens };
  }

  /** Part of what `RegionDemand.waitingAhead` returns that is served before a new request of a customer. */
  partAheadOf(position: QueuePosition, customer: Sharer, now: Instant): number {
    if (!this.isContended(now)) {
      return 1;
    }
    let all = 0;
    const shares = this.#services.get(position.service);
    for (const [name, waiting] of shares?.classes ?? []) {
      if (name === classOf(position) || isClassAhead(name, position)) {
        waiting.forEach(({ region }) => all += region.tokens);
      }
    }
    return all === 0
      ? 1
      : this.waitingAheadOf(position, customer, now).tokens / all;
  }

  /** When a new request of a customer is served in virtual time: behind what waits of its customer. */
  #startOf(
    shares: ServiceShares,
    { position, customer }: { position: QueuePosition; customer: Sharer },
    now: Instant,
  ): number {
    const waiting = shares.classes.get(classOf(position))?.get(customer);
    return shares.level === Infinity
      ? Infinity
      : Math.max(now, this.#paidUntil(shares, customer)) +
        MS_PER_SECOND * (waiting === undefined ? 0 : workOf(waiting.region)) /
          this.#rateOf(shares, customer);
  }

  /** Part of a customer's waiting requests that is served before a virtual time. */
  #partBefore(
    shares: ServiceShares,
    { customer, totals }: { customer: Sharer; totals: WaitingTotals },
    time: number,
  ): number {
    if (time === Infinity) {
      return 1;
    }
    const served = (time - this.#paidUntil(shares, customer)) *
      this.#rateOf(shares, customer) / MS_PER_SECOND;
    return Math.min(1, Math.max(0, served / workOf(totals.region)));
  }

  /** Work a second that a customer may have. */
  #rateOf({ accounts, level }: ServiceShares, customer: Sharer): number {
    return level * (accounts.get(customer)?.weight ?? 1);
  }

  /** Until when a customer has had its share: after the present if it had more than that. */
  #paidUntil(shares: ServiceShares, customer: Sharer): number {
    const placed = shares.accounts.get(customer)?.placed ?? 0;
    const since = this.#refreshedAt! - SHARE_WINDOW_MS;
    return placed === 0 || shares.level === Infinity
      ? since
      : since + MS_PER_SECOND * placed / this.#rateOf(shares, customer);
  }

  #refresh(now: Instant): void {
    if (
      this.#refreshedAt !== undefined &&
      now - this.#refreshedAt < this.#refreshPeriodMs
    ) {
      return;
    }
    this.#refreshedAt = now;
    this.#services.clear();
    this.#groups = 0;
    const { demand, placedHere } = this.#sources;
    this.#add({ ...demand.own, placed: placedHere(now) }, 1, false);
    for (const { report, age } of demand.peerReports(now)) {
      // Part of a peer's last second that is still in this one. What it did since is not known.
      this.#add(report, Math.max(0, 1 - age / SHARE_WINDOW_MS), true);
    }
    this.#services.forEach((shares) => this.#setLevel(shares));
    this.#refreshPeriodMs = Math.max(
      MIN_REFRESH_PERIOD_MS,
      this.#groups * REFRESH_MS_PER_GROUP,
    );
  }

  #add(
    { waiting, placed }: Pick<DemandReport, "waiting" | "placed">,
    part: number,
    isPeer: boolean,
  ): void {
    this.#groups += placed.length + waiting.length;
    for (const { service, customer, requests, tokens } of placed) {
      const account = this.#accountOf(service, customer);
      account.placed += workOf({ requests, tokens }) * part;
      account.requests += requests * part;
    }
    for (const group of waiting) {
      const { service, customer } = group;
      const account = this.#accountOf(service, customer);
      const requests = group.requests * part;
      const tokens = group.tokens * part;
      account.waiting += workOf({ requests, tokens });
      account.requests += requests;
      const { region, peers } = this.#waitingOf(group, customer);
      region.requests += requests;
      region.tokens += tokens;
      peers.requests += isPeer ? requests : 0;
      peers.tokens += isPeer ? tokens : 0;
    }
  }

  #accountOf(service: ServiceId, customer: Sharer): Account {
    const { accounts } = this.#sharesOf(service);
    let account = accounts.get(customer);
    if (account === undefined) {
      account = { placed: 0, requests: 0, waiting: 0, weight: 1 };
      accounts.set(customer, account);
    }
    return account;
  }

  #waitingOf(position: QueuePosition, customer: Sharer): WaitingTotals {
    const { classes } = this.#sharesOf(position.service);
    const name = classOf(position);
    let waiting = classes.get(name);
    if (waiting === undefined) {
      waiting = new Map();
      classes.set(name, waiting);
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

  #sharesOf(service: ServiceId): ServiceShares {
    let shares = this.#services.get(service);
    if (shares === undefined) {
      shares = { accounts: new Map(), classes: new Map(), level: Infinity };
      this.#services.set(service, shares);
    }
    return shares;
  }

  #setLevel(shares: ServiceShares): void {
    const accounts = [...shares.accounts.values()];
    const sum = (value: (account: Account) => number): number =>
      accounts.reduce((total, account) => total + value(account), 0);
    const waiting = sum((account) => account.waiting);
    if (waiting === 0) {
      return;
    }
    const placed = sum((account) => account.placed);
    const weights = customerWeights(shares.accounts.keys(), {
      limitOf: this.#sources.limitOf,
      workPerRequest: (placed + waiting) /
        Math.max(1, sum(({ requests }) => requests)),
    });
    for (const [customer, account] of shares.accounts) {
      account.weight = weights.get(customer)!;
    }
    shares.level = fairLevel(
      accounts.map((account) => ({
        demand: account.placed + account.waiting,
        weight: account.weight,
      })),
      Math.max(placed, MIN_CAPACITY_TOKENS),
    );
  }
}

/** Whether a customer gets all that it asks for at the fair level. */
function isWithinShare(
  { accounts, level }: ServiceShares,
  customer: Sharer,
): boolean {
  const account = accounts.get(customer);
  return account === undefined ||
    account.placed + account.waiting <= account.weight * level;
}

/** Requests that are ordered among each other by customer. */
function classOf({ rank, late }: QueuePosition): string {
  return `${late ? 1 : 0} ${rank}`;
}

/** Whether all requests of a class are served before a request at the given position. */
function isClassAhead(name: string, position: QueuePosition): boolean {
  const [late, rank] = name.split(" ").map(Number);
  return late === Number(position.late) ? rank! < position.rank : position.late;
}
