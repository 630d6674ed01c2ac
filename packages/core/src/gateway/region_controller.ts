/**
 * The load of this region as it is told to others, and where this region's callers are sent.
 *
 * @module
 */
import type {
  FleetController,
  RegionShare,
  RegionSummary,
  ServiceArrivals,
  ServiceLoad,
} from "../fleet/index.ts";
import {
  after,
  type Instant,
  milliseconds,
  type RegionId,
  type ServiceId,
} from "../ids/index.ts";
import { ArrivalMeter } from "./arrival_meter.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { Prompt } from "./messages.ts";
import { engineWork } from "./prompt_cost.ts";
import { RouteTraffic } from "./route_traffic.ts";
import { chooseShares, type RegionLoad, smoothShares } from "./steering.ts";

/** Between two decisions where callers are sent: twice as often as figures from other regions come. */
const DECIDE_PERIOD_MS = 250;
const MS_PER_SECOND = 1_000;
/** Work of a call to a plain service, in endpoint milliseconds. */
const PLAIN_WORK_MS = 50;
/** Part of a prompt that is read, until it was measured, and the weight of the newest measurement. */
const FIRST_READ_PART = 0.6;
const NEWEST_READ_WEIGHT = 0.02;

/**
 * Part of the highest rate of requests that is still counted on after a decision's period: half is
 * forgotten in five seconds. A rate that falls for a moment must not send callers elsewhere and back.
 */
const RATE_KEPT = 0.966;

/** What is known of one other region. */
export interface RegionView {
  readonly region: RegionId;
  readonly load: ServiceLoad | undefined;
}

/** Writes the region's summary and shares. */
export class RegionController {
  readonly arrivals = new ArrivalMeter();
  readonly #requests = new ArrivalMeter();
  readonly traffic = new RouteTraffic();
  readonly #region: RegionId;
  readonly #catalogue: CatalogueView;
  readonly #endpoints: EndpointRegistry;
  readonly #limitOf: (record: EndpointRecord) => number | undefined;
  #readPart = FIRST_READ_PART;
  #shares: RegionShare[] = [];
  #requestRate = 0;
  #nextDecisionAt: Instant;

  constructor(
    { region, catalogue, endpoints, limitOf, now }: {
      region: RegionId;
      catalogue: CatalogueView;
      endpoints: EndpointRegistry;
      /** Requests a second that an endpoint takes, `undefined` where it states no limit. */
      limitOf: (record: EndpointRecord) => number | undefined;
      now: Instant;
    },
  ) {
    this.#region = region;
    this.#catalogue = catalogue;
    this.#endpoints = endpoints;
    this.#limitOf = limitOf;
    this.#nextDecisionAt = now;
  }

  /** Where this region's callers are sent. */
  get shares(): readonly RegionShare[] {
    return this.#shares;
  }

  tick(fleet: FleetController, now: Instant): void {
    if (now < this.#nextDecisionAt) {
      return;
    }
    this.#nextDecisionAt = after(now, DECIDE_PERIOD_MS);
    this.#requestRate = Math.max(
      sumRequests(this.summary(now)),
      this.#requestRate * RATE_KEPT,
    );
    const regions = this.#engineLoads(fleet, now);
    this.#shares = smoothShares(
      this.#shares,
      chooseShares(this.#region, regions),
    );
  }

  /** A request arrived here. */
  noteArrival(
    service: ServiceId,
    prompt: Prompt | undefined,
    now: Instant,
  ): void {
    this.arrivals.add(service, this.#workOf(prompt), now);
    this.#requests.add(service, 1, now);
  }

  /** A request that arrived at `arrivedAt` was passed on to another region: its work is that region's. */
  noteRelayed(
    service: ServiceId,
    prompt: Prompt | undefined,
    { arrivedAt, now }: { arrivedAt: Instant; now: Instant },
  ): void {
    this.arrivals.takeOff(service, this.#workOf(prompt), arrivedAt, now);
  }

  /** The other region turned it away: its work is this region's again. */
  noteDeclined(
    service: ServiceId,
    prompt: Prompt | undefined,
    now: Instant,
  ): void {
    this.arrivals.add(service, this.#workOf(prompt), now);
  }

  /** Part of a prompt that engines have to read: the rest is cached. */
  get readPart(): number {
    return this.#readPart;
  }

  /** Notes what an engine had to read of a prompt. */
  noteReading(prefill: number, promptTokens: number): void {
    const part = prefill / Math.max(1, promptTokens);
    this.#readPart += NEWEST_READ_WEIGHT * (part - this.#readPart);
  }

  /** The own region, as told to others. */
  summary(now: Instant): RegionSummary {
    const services = this.#catalogue.document?.services.keys() ?? [];
    return {
      region: this.#region,
      age: milliseconds(0),
      loads: [...services].map((service) => this.load(service, now)),
      shares: this.#shares,
    };
  }

  /** The own region's load for one service: this entry's part and what its peers told. */
  load(service: ServiceId, now: Instant): ServiceLoad {
    const usable = this.#endpoints.of(service).filter((state) =>
      this.#endpoints.accepts(state, now)
    );
    let work = this.arrivals.lastSecond(service, now);
    let requests = this.#requests.lastSecond(service, now);
    for (const { report } of this.#endpoints.reports()) {
      const told = report.arrivals.find((item) => item.service === service);
      work += told?.work ?? 0;
      requests += told?.requests ?? 0;
    }
    const backlog = usable.reduce(
      (sum, state) => sum + state.prefill / state.prefillRate,
      0,
    );
    const mean = requests === 0 ? 0 : work / requests;
    const inUse = usable.reduce(
      (sum, state) => sum + this.#partInUse(state, mean),
      0,
    );
    return {
      service,
      // None at all would keep other regions from what limits leave.
      endpoints: Math.min(usable.length, Math.max(1, Math.round(inUse))),
      work: Math.round(work),
      requests,
      backlog: milliseconds(
        usable.length === 0 ? 0 : Math.round(backlog / usable.length),
      ),
    };
  }

  /** Part of an endpoint that its stated limit leaves, for requests of so many milliseconds of work. */
  #partInUse({ record }: EndpointState, work: number): number {
    const limit = this.#limitOf(record);
    return limit === undefined ? 1 : Math.min(1, limit * work / MS_PER_SECOND);
  }

  /** Requests a second that the entries of a region get together, as far as is known. */
  requestRate(region: RegionId, fleet: FleetController, now: Instant): number {
    if (region === this.#region) {
      return this.#requestRate;
    }
    const summary = fleet.regions.fresh(now).find((item) =>
      item.region === region
    );
    return summary === undefined ? 0 : sumRequests(summary);
  }

  /** This entry's arrivals, as told to its region. */
  report(now: Instant): ServiceArrivals[] {
    return [...this.arrivals.services()].map((service) => ({
      service,
      work: Math.round(this.arrivals.lastSecond(service, now)),
      requests: this.#requests.lastSecond(service, now),
    })).filter(({ work }) => work > 0);
  }

  /** Other regions that can be reached and have endpoints for a service. */
  others(
    service: ServiceId,
    fleet: FleetController,
    now: Instant,
  ): RegionView[] {
    const reachable = new Set(
      fleet.live().filter(({ record }) => record.state === "ready")
        .map(({ record }) => record.region),
    );
    return fleet.regions.fresh(now)
      .filter(({ region }) => reachable.has(region))
      .map(({ region, loads }) => ({
        region,
        load: loads.find((load) => load.service === service),
      }));
  }

  #workOf(prompt: Prompt | undefined): number {
    return prompt === undefined
      ? PLAIN_WORK_MS
      : engineWork(prompt, this.#readPart);
  }

  /** Regions by the load of their engines: these are what is scarce. */
  #engineLoads(fleet: FleetController, now: Instant): RegionLoad[] {
    const services = [...this.#catalogue.document?.services.values() ?? []]
      .filter(({ engine }) => engine !== undefined)
      .map(({ id }) => id);
    const reachable = new Set(
      fleet.live().filter(({ record }) => record.state === "ready")
        .map(({ record }) => record.region),
    );
    const summaries = [
      this.summary(now),
      ...fleet.regions.fresh(now).filter(({ region }) => reachable.has(region)),
    ];
    return summaries.map(({ region, loads, shares }) => {
      const engines = loads.filter(({ service }) => services.includes(service));
      return {
        region,
        capacity: MS_PER_SECOND *
          engines.reduce((sum, { endpoints }) => sum + endpoints, 0),
        arrivals: engines.reduce((sum, { work }) => sum + work, 0),
        shares,
      };
    });
  }
}

function sumRequests({ loads }: RegionSummary): number {
  return loads.reduce((sum, { requests }) => sum + requests, 0);
}
