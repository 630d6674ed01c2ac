/**
 * Whom a full region takes next, and when those that it refuses should retry.
 *
 * Each entry decides for the requests that it holds, from what all entries of its region report.
 *
 * @module
 */
import {
  DEMAND_PERIOD_MS,
  type DemandReport,
  type DemandTotals,
  type QueuePosition,
  type RegionDemand,
} from "../demand/index.ts";
import {
  after,
  type Instant,
  instant,
  type Milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import {
  type AdmissionFacts,
  isHopeless,
  mayWait,
  waitBehind,
} from "./admission_decision.ts";
import { DecayingRate } from "./decaying_rate.ts";
import { RegionRate } from "./region_rate.ts";
import { ReturnSchedule } from "./return_schedule.ts";
import { WaitingWork, type WorkAhead } from "./waiting_work.ts";
import { unitsOf } from "./work_units.ts";

/** Time for which sums over all reports are used again. */
const SUMS_LIFETIME_MS = 50;
/** Least share of the region's rate that is assumed to be left by more urgent requests that can be on time. */
const MIN_FREE_SHARE = 0.1;
/**
 * Work that can be on time, as a multiple of what the region places, from which late requests get no places. Below it
 * they fill the gaps that other entries leave.
 */
const FULL_DEMAND = 1.2;
/** Least share of the region's rate that late requests are assumed to get below full demand. */
const MIN_LATE_SHARE = 0.3;
/** Ranks are small numbers. Larger ones share one measurement. */
const MAX_RANK = 9;

/** A request to decide about. */
export interface AdmissionRequest {
  readonly service: ServiceId;
  readonly rank: number;
  readonly tokens: number;
  /** Time until it has to be sent to be on time; negative if it is late. */
  readonly timeUntilLate: number;
  readonly timeLeft: number;
  /** Whether its caller was refused before. */
  readonly returned: boolean;
}

/** Dependencies of `RegionAdmission`. */
export interface RegionAdmissionSources {
  readonly isOn: () => boolean;
  readonly demand: Pick<RegionDemand, "own" | "reports" | "entries">;
  /** Entries of the region that carry requests, including this one. */
  readonly regionEntries: () => number;
  /** Units per millisecond that endpoints of a service would place by their description, `undefined` if not known. */
  readonly assumedRate: (
    service: ServiceId,
    now: Instant,
  ) => number | undefined;
}

/** Counts since the start. */
export interface AdmissionCounts {
  /** Refused on arrival, and while they waited. */
  refusedOnArrival: number;
  refusedWaiting: number;
  /** Requests of callers that returned after a refusal, and how many of them were refused again. */
  returned: number;
  refusedAgain: number;
}

/** Units per millisecond that more urgent requests leave, and the factor by which reports are incomplete. */
interface RankRates {
  readonly onTime: number;
  readonly late: number;
  readonly scale: number;
}

interface ServiceState {
  readonly rate: RegionRate;
  /** New work that can be on time, by rank. */
  readonly arrivals: DecayingRate[];
  readonly returns: ReturnSchedule;
}

/** Estimates waits in the region, and decides by them. */
export class RegionAdmission {
  readonly counts: AdmissionCounts = {
    refusedOnArrival: 0,
    refusedWaiting: 0,
    returned: 0,
    refusedAgain: 0,
  };
  readonly #sources: RegionAdmissionSources;
  readonly #services = new Map<ServiceId, ServiceState>();
  #nextAt = instant(0);
  #sums = new WaitingWork();
  #peerSums = new WaitingWork();
  #sumsAt: Instant | undefined;
  /** Entries of the region that carry requests, at the last tick. */
  #entries = 1;
  /** Changes of the own queue since it was last measured for `#measured`. */
  #changes: { position: QueuePosition; work: DemandTotals }[] = [];
  #measured: DemandReport | undefined;

  constructor(sources: RegionAdmissionSources) {
    this.#sources = sources;
  }

  get isOn(): boolean {
    return this.#sources.isOn();
  }

  /** Whether the region's state is known. Otherwise an entry decides by its own queue. */
  get isInformed(): boolean {
    return this.isOn &&
      (this.#sources.demand.entries > 1 || this.#entries <= 1);
  }

  /** Number of refused callers that are expected to return. */
  get expectedReturns(): number {
    let returns = 0;
    for (const { returns: schedule } of this.#services.values()) {
      returns += schedule.size;
    }
    return returns;
  }

  tick(now: Instant): void {
    if (now < this.#nextAt) {
      return;
    }
    this.#nextAt = after(now, DEMAND_PERIOD_MS);
    if (!this.isOn) {
      this.#services.clear();
      this.#changes = [];
      return;
    }
    this.#entries = Math.max(1, this.#sources.regionEntries());
    const waiting = this.#waiting(now);
    const placed = this.#placed();
    for (const service of placed.keys()) {
      this.#stateOf(service);
    }
    for (const [service, { rate, returns }] of this.#services) {
      returns.expire(now);
      rate.observe({
        placed: placed.get(service) ?? 0,
        waiting: waiting.unitsOf(service),
      }, now);
    }
  }

  /** Counts a request that needs a place in this region. */
  noteArrival(request: AdmissionRequest, now: Instant): void {
    if (!this.isOn) {
      return;
    }
    const { service, rank, timeUntilLate, tokens, returned } = request;
    const { arrivals, returns } = this.#stateOf(service);
    if (returned) {
      this.counts.returned++;
      returns.settle(rank);
    }
    if (timeUntilLate > 0) {
      const index = Math.min(rank, MAX_RANK);
      arrivals[index] ??= new DecayingRate();
      arrivals[index].add(unitsOf({ requests: 1, tokens }), now);
    }
  }

  /** Counts a request that has been added to this entry's queue (1) or has left it (-1). */
  noteQueue(
    { service, rank, tokens, timeUntilLate }: AdmissionRequest,
    sign: 1 | -1,
  ): void {
    if (this.isOn) {
      this.#forgetMeasuredChanges();
      const position = { service, rank, late: timeUntilLate < 0 };
      const work = { requests: sign, tokens: sign * tokens };
      this.#changes.push({ position, work });
      this.#sums.add(position, work);
    }
  }

  /** Whether a new request without a place is refused, `undefined` where the region's state is not known. */
  refuses(
    request: AdmissionRequest,
    now: Instant,
    partAhead = 1,
  ): boolean | undefined {
    const waiting = this.#waiting(now);
    const facts = this.#factsOf(request, { waiting, ownShare: partAhead, now });
    if (facts === undefined) {
      return undefined;
    }
    const { service } = request;
    if (
      !waiting.has(service) || mayWait(facts)
    ) {
      return false;
    }
    this.#countRefusal(request, "refusedOnArrival");
    return true;
  }

  /**
   * Whether a request that waits gets no place in time. `ownShare` is the part of this entry's requests at the same
   * position that go before it. Returns `undefined` where that is not known.
   */
  isHopeless(
    request: AdmissionRequest,
    ownShare: number,
    now: Instant,
  ): boolean | undefined {
    const waiting = this.#waiting(now);
    const facts = this.#factsOf(request, { waiting, ownShare, now });
    return facts === undefined ? undefined : isHopeless(facts);
  }

  countHopeless(request: AdmissionRequest): void {
    this.#countRefusal(request, "refusedWaiting");
  }

  /**
   * Whether a request leaves the place that it could have to another one: it is late, and one that can be on time
   * waits at another entry.
   */
  leavesPlace(request: AdmissionRequest, now: Instant): boolean {
    if (!this.isOn || request.timeUntilLate >= 0) {
      return false;
    }
    const { service } = request;
    const waiting = this.#waiting(now);
    return this.#peerSums.before({ service, rank: 0, late: true }) > 0 ||
      waiting.has(service) &&
        this.#ratesOf({ ...request, returned: false }, now)?.late === 0;
  }

  /** Expected wait of a new request, `undefined` where it is not known. */
  expectedWait(
    request: AdmissionRequest,
    now: Instant,
  ): Milliseconds | undefined {
    const waiting = this.#waiting(now);
    const facts = this.#factsOf(request, { waiting, ownShare: 1, now });
    return facts === undefined
      ? undefined
      : waitOf(facts, request) as Milliseconds;
  }

  /** When the caller of a refused request should retry, `undefined` where that is not known. */
  bookReturn(
    request: AdmissionRequest,
    now: Instant,
  ): Milliseconds | undefined {
    const waiting = this.#waiting(now);
    const rates = this.#ratesOf(request, now);
    const facts = this.#factsOf(request, { waiting, ownShare: 1, rates, now });
    if (facts === undefined || rates === undefined) {
      return undefined;
    }
    const { service, rank, tokens, timeLeft } = request;
    const onTime = facts.waitOnTime <= request.timeUntilLate;
    const rate = onTime ? rates.onTime : rates.late;
    return this.#stateOf(service).returns.book({
      rank,
      units: unitsOf({ requests: 1, tokens }),
      timeUntilLate: request.timeUntilLate,
      roomIn: waitOf(facts, request),
      rate: rate / this.#entries,
      timeLeft,
    }, now);
  }

  #countRefusal(
    { returned }: AdmissionRequest,
    kind: "refusedOnArrival" | "refusedWaiting",
  ): void {
    this.counts[kind]++;
    this.counts.refusedAgain += returned ? 1 : 0;
  }

  #factsOf(
    request: AdmissionRequest,
    { waiting, ownShare, now, rates = this.#ratesOf(request, now) }: {
      waiting: WorkAhead;
      ownShare: number;
      rates?: RankRates | undefined;
      now: Instant;
    },
  ): AdmissionFacts | undefined {
    const { service, rank, timeUntilLate, timeLeft, returned } = request;
    if (!this.isInformed || rates === undefined) {
      return undefined;
    }
    const { returns } = this.#stateOf(service);
    const waitAt = (late: boolean, rate: number): number => {
      const position = { service, rank, late };
      // Those that come back don't wait behind callers who came after them.
      const same = returned && ownShare === 1 ? 0 : waiting.at(position);
      const ahead = rates.scale *
        (waiting.before(position) + ownShare * same);
      const wait = waitBehind(ahead, rate);
      const expected = returned
        ? 0
        : this.#entries * returns.unitsBefore(position, after(now, wait));
      return waitBehind(ahead + expected, rate);
    };
    return {
      waitOnTime: waitAt(false, rates.onTime),
      waitLate: waitAt(true, rates.late),
      timeUntilLate,
      timeLeft,
      returned,
    };
  }

  /** What more urgent requests leave of the region's rate, to those that can be on time and to late ones. */
  #ratesOf(
    { service, rank, returned }: AdmissionRequest,
    now: Instant,
  ): RankRates | undefined {
    const { demand, assumedRate } = this.#sources;
    const { rate, arrivals } = this.#stateOf(service);
    // Entries that report nothing place work too, and have as much waiting as the others.
    const scale = Math.max(1, this.#entries / demand.entries);
    const measured = rate.perMs(now);
    const total = measured === undefined
      ? assumedRate(service, now)
      : measured * scale;
    if (total === undefined || total <= 0) {
      return undefined;
    }
    const taken = (ranks: number): number =>
      this.#entries *
      arrivals.slice(0, ranks).reduce(
        (sum, arrived) => sum + (arrived?.perMs(now) ?? 0),
        0,
      );
    const floor = total * MIN_FREE_SHARE;
    const demanded = taken(MAX_RANK + 1);
    return {
      onTime: Math.max(floor, total - taken(Math.min(rank, MAX_RANK))),
      late: !returned && demanded > total * FULL_DEMAND
        ? 0
        : Math.max(total * MIN_LATE_SHARE, total - demanded),
      scale,
    };
  }

  #stateOf(service: ServiceId): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        rate: new RegionRate(),
        arrivals: [],
        returns: new ReturnSchedule(),
      };
      this.#services.set(service, state);
    }
    return state;
  }

  #placed(): Map<ServiceId, number> {
    const placed = new Map<ServiceId, number>();
    for (const report of this.#sources.demand.reports()) {
      for (const group of report.placed) {
        const units = (placed.get(group.service) ?? 0) + unitsOf(group);
        placed.set(group.service, units);
      }
    }
    return placed;
  }

  /** Drops changes of the own queue that its newest measurement includes. */
  #forgetMeasuredChanges(): void {
    const { own } = this.#sources.demand;
    if (own !== this.#measured) {
      this.#measured = own;
      this.#changes = [];
      this.#sumsAt = undefined;
    }
  }

  /** What waits in the region, added up anew every few milliseconds. */
  #waiting(now: Instant): WaitingWork {
    const { demand } = this.#sources;
    this.#forgetMeasuredChanges();
    if (this.#sumsAt !== undefined && now - this.#sumsAt < SUMS_LIFETIME_MS) {
      return this.#sums;
    }
    this.#sumsAt = now;
    this.#sums = new WaitingWork(demand.reports());
    this.#changes.forEach(({ position, work }) =>
      this.#sums.add(position, work)
    );
    this.#peerSums = new WaitingWork(
      [...demand.reports()].filter((report) => report !== demand.own),
    );
    return this.#sums;
  }
}

function waitOf(
  { waitOnTime, waitLate }: AdmissionFacts,
  { timeUntilLate }: AdmissionRequest,
): number {
  return waitOnTime <= timeUntilLate ? waitOnTime : waitLate;
}
