/**
 * Summarizes this region's load for other regions, and decides where this region's callers are sent.
 *
 * @module
 */
import {
  type FleetController,
  NO_RETURN_MS,
  type RegionShare,
  type RegionSummary,
  type ServiceArrivals,
  type ServiceLoad,
} from "../fleet/index.ts";
import {
  after,
  type Instant,
  type Milliseconds,
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
import { engineWorkMs } from "./prompt_cost.ts";
import { RouteTraffic } from "./route_traffic.ts";
import { chooseShares, type RegionLoad, smoothShares } from "./steering.ts";

/** Time between two steering decisions: half of the time between the summaries of other regions. */
const STEERING_PERIOD_MS = 250;
const MS_PER_SECOND = 1_000;
/** Decisions about single requests use a load of at most this age. It takes all endpoints and reports to compute. */
const RECENT_LOAD_MS = 10;
/** Work of a request to a plain service, in endpoint milliseconds. */
const PLAIN_REQUEST_WORK_MS = 50;
/** Initial fraction of a prompt that has to be prefilled, and the weight of the newest measurement. */
const INITIAL_PREFILL_FRACTION = 0.6;
const PREFILL_FRACTION_WEIGHT = 0.02;

/**
 * Fraction of the highest request rate that is retained after each steering period, so that it halves in
 * five seconds. A rate that drops for a moment must not send callers elsewhere and back.
 */
const PEAK_RATE_RETENTION = 0.966;

/** What is known about one other region. */
export interface RegionView {
  readonly region: RegionId;
  readonly load: ServiceLoad | undefined;
}

/** Maintains the region's load summary and its steering shares. */
export class RegionController {
  readonly arrivals = new ArrivalMeter();
  readonly #requests = new ArrivalMeter();
  readonly traffic = new RouteTraffic();
  readonly #region: RegionId;
  readonly #catalogue: CatalogueView;
  readonly #endpoints: EndpointRegistry;
  readonly #limitOf: (record: EndpointRecord) => number | undefined;
  #prefillFraction = INITIAL_PREFILL_FRACTION;
  readonly #recentLoads = new Map<
    ServiceId,
    { readonly at: Instant; readonly load: ServiceLoad }
  >();
  #shares: RegionShare[] = [];
  #requestRate = 0;
  #nextDecisionAt: Instant;

  constructor(
    { region, catalogue, endpoints, limitOf, now }: {
      region: RegionId;
      catalogue: CatalogueView;
      endpoints: EndpointRegistry;
      /** Requests per second that an endpoint accepts, `undefined` if it states no limit. */
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

  /** The shares of this region's callers that are sent to other regions. */
  get shares(): readonly RegionShare[] {
    return this.#shares;
  }

  tick(fleet: FleetController, now: Instant): void {
    if (now < this.#nextDecisionAt) {
      return;
    }
    this.#nextDecisionAt = after(now, STEERING_PERIOD_MS);
    this.#requestRate = Math.max(
      sumRequests(this.summary(now)),
      this.#requestRate * PEAK_RATE_RETENTION,
    );
    const regions = this.#engineLoads(fleet, now);
    this.#shares = smoothShares(
      this.#shares,
      chooseShares(this.#region, regions),
    );
  }

  /** Counts a request that arrived at this entry. */
  recordArrival(
    service: ServiceId,
    prompt: Prompt | undefined,
    now: Instant,
  ): void {
    this.arrivals.add(service, this.#workOf(prompt), now);
    this.#requests.add(service, 1, now);
  }

  /**
   * Removes the work of a request that arrived at `arrivedAt` and was relayed: it counts for the other
   * region.
   */
  recordRelayed(
    service: ServiceId,
    prompt: Prompt | undefined,
    { arrivedAt, now }: { arrivedAt: Instant; now: Instant },
  ): void {
    this.arrivals.subtract(service, this.#workOf(prompt), arrivedAt, now);
  }

  /** Counts the work of a relayed request here again, because the other region declined it. */
  recordDeclined(
    service: ServiceId,
    prompt: Prompt | undefined,
    now: Instant,
  ): void {
    this.arrivals.add(service, this.#workOf(prompt), now);
  }

  /** Average fraction of a prompt that engines have to prefill, as the rest is cached. */
  get prefillFraction(): number {
    return this.#prefillFraction;
  }

  /** Records how much of a prompt an engine had to prefill. */
  recordPrefill(prefill: number, promptTokens: number): void {
    const part = prefill / Math.max(1, promptTokens);
    this.#prefillFraction += PREFILL_FRACTION_WEIGHT *
      (part - this.#prefillFraction);
  }

  /** The summary of this region that is sent to other regions. */
  summary(now: Instant): RegionSummary {
    const services = this.#catalogue.document?.services.keys() ?? [];
    return {
      region: this.#region,
      age: milliseconds(0),
      loads: [...services].map((service) => this.load(service, now)),
      shares: this.#shares,
    };
  }

  /** This region's load for one service, from this entry's own figures and its peers' reports. */
  load(service: ServiceId, now: Instant): ServiceLoad {
    const usable = this.#endpoints.ofService(service).filter((state) =>
      this.#endpoints.accepts(state, now)
    );
    const peers = this.#endpoints.peerArrivals(service);
    const work = this.arrivals.lastSecond(service, now) + peers.work;
    const requests = this.#requests.lastSecond(service, now) + peers.requests;
    const backlog = usable.reduce(
      (sum, state) => sum + state.prefill / state.prefillRateAt(now),
      0,
    );
    const meanWork = requests === 0 ? 0 : work / requests;
    const usableEndpoints = usable.reduce(
      (sum, state) => sum + this.#usableFraction(state, meanWork),
      0,
    );
    return {
      service,
      // With 0 endpoints, other regions could not use the capacity that the limits leave.
      endpoints: Math.min(
        usable.length,
        Math.max(1, Math.round(usableEndpoints)),
      ),
      work: Math.round(work),
      requests,
      backlog: milliseconds(
        usable.length === 0 ? 0 : Math.round(backlog / usable.length),
      ),
      closedFor: usable.length === 0
        ? this.#endpoints.closedFor(service, now)
        : undefined,
    };
  }

  /** This region's load for one service, which may be a few milliseconds old. */
  recentLoad(service: ServiceId, now: Instant): ServiceLoad {
    const known = this.#recentLoads.get(service);
    if (known !== undefined && now - known.at < RECENT_LOAD_MS) {
      return known.load;
    }
    const load = this.load(service, now);
    this.#recentLoads.set(service, { at: now, load });
    return load;
  }

  /** Time until another region accepts work for a service, according to its latest summary; 0 if not known. */
  closedFor(
    service: ServiceId,
    { region, fleet }: { region: RegionId; fleet: FleetController },
    now: Instant,
  ): Milliseconds {
    const summary = fleet.regionSummaries.fresh(now).find((item) =>
      item.region === region
    );
    const closedFor = summary?.loads.find((load) => load.service === service)
      ?.closedFor;
    return closedFor === undefined || closedFor >= NO_RETURN_MS
      ? closedFor ?? milliseconds(0)
      : milliseconds(Math.max(0, closedFor - summary!.age));
  }

  /**
   * Fraction of an endpoint that its stated limit makes usable, for requests of `work` milliseconds each.
   */
  #usableFraction({ record }: EndpointState, work: number): number {
    const limit = this.#limitOf(record);
    return limit === undefined ? 1 : Math.min(1, limit * work / MS_PER_SECOND);
  }

  /** Requests per second that all entries of a region receive together, as far as is known. */
  requestRate(region: RegionId, fleet: FleetController, now: Instant): number {
    if (region === this.#region) {
      return this.#requestRate;
    }
    const summary = fleet.regionSummaries.fresh(now).find((item) =>
      item.region === region
    );
    return summary === undefined ? 0 : sumRequests(summary);
  }

  /** This entry's arrivals, as reported to its peers in the region. */
  report(now: Instant): ServiceArrivals[] {
    return [...this.arrivals.services()].map((service) => ({
      service,
      work: Math.round(this.arrivals.lastSecond(service, now)),
      requests: this.#requests.lastSecond(service, now),
    })).filter(({ work }) => work > 0);
  }

  /** Reachable other regions, with their load for a service. */
  otherRegions(
    service: ServiceId,
    fleet: FleetController,
    now: Instant,
  ): RegionView[] {
    const reachable = fleet.derive(readyRegions, this.#region);
    return fleet.regionSummaries.fresh(now)
      .filter(({ region }) => reachable.has(region))
      .map(({ region, loads }) => ({
        region,
        load: loads.find((load) => load.service === service),
      }));
  }

  #workOf(prompt: Prompt | undefined): number {
    return prompt === undefined
      ? PLAIN_REQUEST_WORK_MS
      : engineWorkMs(prompt, this.#prefillFraction);
  }

  /** Load of the regions' engines only, since engines are the scarce capacity. */
  #engineLoads(fleet: FleetController, now: Instant): RegionLoad[] {
    const services = [...this.#catalogue.document?.services.values() ?? []]
      .filter(({ engine }) => engine !== undefined)
      .map(({ id }) => id);
    const reachable = fleet.derive(readyRegions, this.#region);
    const summaries = [
      this.summary(now),
      ...fleet.regionSummaries.fresh(now).filter(({ region }) =>
        reachable.has(region)
      ),
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

/** Regions in which another entry is ready. */
function readyRegions(
  _region: RegionId,
  fleet: FleetController,
): ReadonlySet<RegionId> {
  return new Set(
    fleet.liveMembers().filter(({ record }) => record.state === "ready")
      .map(({ record }) => record.region),
  );
}

function sumRequests({ loads }: RegionSummary): number {
  return loads.reduce((sum, { requests }) => sum + requests, 0);
}
