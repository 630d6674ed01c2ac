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
import type { Sharer } from "./customer_weights.ts";
import {
  classOf,
  ServiceShares,
  SHARE_WINDOW_MS,
  workOf,
} from "./service_shares.ts";
import { YieldPeriods } from "./yield_periods.ts";

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

/** Gives each customer its share of a region's endpoints. */
export class FairShares {
  readonly #sources: FairShareSources;
  readonly #services = new Map<ServiceId, ServiceShares>();
  readonly #yieldPeriods = new YieldPeriods();
  #refreshedAt: Instant | undefined;
  #refreshPeriodMs = MIN_REFRESH_PERIOD_MS;
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
    return [...this.#services.values()].some((shares) => shares.isContended);
  }

  /** Customers that had more than their share within the last second. */
  overShare(now: Instant): number {
    return !this.isContended(now) ? 0 : [...this.#services.values()].reduce(
      (sum, shares) => sum + shares.overShare(now),
      0,
    );
  }

  /** Counts work that this entry sends to an endpoint. */
  recordPlaced(
    service: ServiceId,
    { customer, tokens }: { customer: Sharer; tokens: number },
  ): void {
    const work = workOf({ requests: 1, tokens });
    this.#services.get(service)?.recordPlaced(customer, work);
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
      if (shares?.isContended !== true) {
        return virtualArrival;
      }
      const queue = own.get(keyOf(request))!;
      const work = workOf({ requests: 1, tokens });
      const waiting = shares.waitingWith(request).get(customer);
      const peerWork = waiting === undefined ? 0 : workOf(waiting.peers);
      // Where in its customer's queue of the whole region a request is: as far as in that of this entry.
      const region = 1 + peerWork / queue.work;
      const ahead = (queue.ahead + work / 2) * region - work / 2;
      queue.ahead += work;
      const paidUntil = shares.paidUntil(customer) - CLOCK_TOLERANCE_MS;
      return Math.max(virtualArrival, paidUntil) +
        shares.timeFor(customer, ahead);
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
    const { service, customer } = request;
    const shares = this.isContended(now)
      ? this.#services.get(service)
      : undefined;
    if (
      shares === undefined ||
      shares.paidUntil(customer) + CLOCK_TOLERANCE_MS < now
    ) {
      return false;
    }
    let requests = 0;
    let tokens = 0;
    for (const [other, { peers }] of shares.waitingWith(request)) {
      if (other !== customer && shares.isWithinShare(other)) {
        requests += peers.requests;
        tokens += peers.tokens;
      }
    }
    if (requests === 0) {
      return false;
    }
    const room = roomOf();
    const yields = (requests >= room.requests || tokens >= room.tokens) &&
      this.#yieldPeriods.mayYield(service, now);
    this.#yielded += Number(yields);
    return yields;
  }

  /** Notes that endpoints of a service had no room for a request. */
  noteBusy(service: ServiceId): void {
    this.#yieldPeriods.noteBusy(service);
  }

  /** Milliseconds until a new request of a customer is served in virtual time, behind what waits of its customer. */
  delayOf(position: QueuePosition, customer: Sharer, now: Instant): number {
    this.#refresh(now);
    const shares = this.#services.get(position.service);
    return shares?.isContended === true
      ? startOf(shares, { ...position, customer }, now) - now
      : 0;
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
    if (shares === undefined) {
      return { requests: 0, tokens: 0 };
    }
    const startsAt = shares.isContended
      ? startOf(shares, { ...position, customer }, now)
      : Infinity;
    return this.#sumAhead(
      shares,
      position,
      (other, waiting) =>
        other === customer || startsAt === Infinity ? 1 : Math.min(
          1,
          Math.max(
            0,
            shares.workIn(other, startsAt - shares.paidUntil(other)),
          ) /
            workOf(waiting),
        ),
    );
  }

  /** Part of what `RegionDemand.waitingAhead` returns that is served before a new request of a customer. */
  partAheadOf(position: QueuePosition, customer: Sharer, now: Instant): number {
    const shares = this.isContended(now)
      ? this.#services.get(position.service)
      : undefined;
    const all = shares === undefined
      ? 0
      : this.#sumAhead(shares, position, () => 1).tokens;
    return all === 0
      ? 1
      : this.waitingAheadOf(position, customer, now).tokens / all;
  }

  /** Sum of the classes before a request's own, and of a part of each customer's requests in its own. */
  #sumAhead(
    shares: ServiceShares,
    position: QueuePosition,
    partOf: (customer: Sharer, waiting: DemandTotals) => number,
  ): DemandTotals {
    let requests = 0;
    let tokens = 0;
    for (const { region } of shares.waitingBefore(position)) {
      requests += region.requests;
      tokens += region.tokens;
    }
    for (const [customer, { region }] of shares.waitingWith(position)) {
      const part = partOf(customer, region);
      requests += region.requests * part;
      tokens += region.tokens * part;
    }
    return { requests, tokens };
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
    const { demand, placedHere, limitOf } = this.#sources;
    const own = { ...demand.own, placed: placedHere(now) };
    let groups = this.#add(own, { part: 1, isPeer: false, now });
    for (const { report, age } of demand.peerReports(now)) {
      // Part of a peer's last second that is still in this one. What it did since is not known.
      const part = Math.max(0, 1 - age / SHARE_WINDOW_MS);
      groups += this.#add(report, { part, isPeer: true, now });
    }
    this.#services.forEach((shares) => shares.settle(limitOf));
    this.#refreshPeriodMs = Math.max(
      MIN_REFRESH_PERIOD_MS,
      groups * REFRESH_MS_PER_GROUP,
    );
  }

  /** Adds a part of a report. Returns the number of its groups. */
  #add(
    { waiting, placed }: Pick<DemandReport, "waiting" | "placed">,
    { part, isPeer, now }: { part: number; isPeer: boolean; now: Instant },
  ): number {
    const partOf = ({ requests, tokens }: DemandTotals): DemandTotals => ({
      requests: requests * part,
      tokens: tokens * part,
    });
    for (const group of placed) {
      this.#sharesOf(group.service, now)
        .addPlaced(group.customer, partOf(group));
    }
    for (const group of waiting) {
      this.#sharesOf(group.service, now)
        .addWaiting(group, partOf(group), isPeer);
    }
    return placed.length + waiting.length;
  }

  #sharesOf(service: ServiceId, now: Instant): ServiceShares {
    let shares = this.#services.get(service);
    if (shares === undefined) {
      shares = new ServiceShares(now);
      this.#services.set(service, shares);
    }
    return shares;
  }
}

/** When a new request of a customer is served in virtual time: behind what waits of its customer. */
function startOf(
  shares: ServiceShares,
  request: QueuePosition & { customer: Sharer },
  now: Instant,
): number {
  const { customer } = request;
  const waiting = shares.waitingWith(request).get(customer);
  const ahead = waiting === undefined ? 0 : workOf(waiting.region);
  return Math.max(now, shares.paidUntil(customer)) +
    shares.timeFor(customer, ahead);
}
