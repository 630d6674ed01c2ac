/**
 * The endpoints of this entry's region, with the work that this entry and its peers have in flight there.
 *
 * @module
 */
import type { ReportedPace } from "../demand/index.ts";
import {
  type EndpointPressure,
  type EndpointWork,
  NO_RETURN_MS,
  type PrefixUpdate,
  type WorkReport,
} from "../fleet/index.ts";
import {
  type EndpointId,
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
  type RegionId,
  type ServiceId,
  type ZoneId,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import { ServiceDecodeSpeed } from "../decode/index.ts";
import { ServicePace } from "../pace/index.ts";
import { type EndpointRecord, isSameProcess } from "../routes/index.ts";
import type { StreamOrigin } from "../stream_origins/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import { EndpointState } from "./endpoint_state.ts";

/**
 * Age at which a peer's report stops counting, because the peer has ended or is cut off: the time of two
 * full reports to other zones, plus a margin.
 */
const REPORT_LIFETIME_MS = 2_200;
/** Share of their time that engines are assumed to prefill while requests wait. */
const ASSUMED_PREFILL_SHARE = 0.7;

/** Factor on the duration of work from which an endpoint counts as slow, for operators. */
const SLOW_ENDPOINT = 1.5;

/** What is known about the pace of the endpoints, for operators. */
export interface PaceFigures {
  /** Endpoints that are slower than usual at present. */
  readonly slow: number;
  /** Reports of contention passed on to peers, and received from them, since the start. */
  readonly shared: number;
  readonly received: number;
}

/** Work and requests that arrived within the last second. */
interface ArrivalTotals {
  work: number;
  requests: number;
}

const NO_ARRIVALS: Readonly<ArrivalTotals> = { work: 0, requests: 0 };

const NO_REGIONS: ReadonlySet<RegionId> = new Set();

interface ReceivedReport {
  readonly report: WorkReport;
  readonly receivedAt: Instant;
}

interface ReceivedPressures {
  readonly pressures: readonly EndpointPressure[];
  readonly receivedAt: Instant;
}

/** Keeps the state of each endpoint in step with the catalogue. */
export class EndpointRegistry {
  readonly #region: RegionId;
  readonly #regionByZone: ReadonlyMap<ZoneId, RegionId>;
  readonly #catalogue: CatalogueView;
  readonly #clock: StallAdjustedClockView;
  readonly #isLeaving: (record: EndpointRecord) => boolean;
  readonly #backoffOf: (record: EndpointRecord, now: Instant) => Milliseconds;
  readonly #states = new Map<EndpointId, EndpointState>();
  readonly #byService = new Map<ServiceId, EndpointState[]>();
  readonly #regionsByOrigin = new Map<string, Set<RegionId>>();
  readonly #paces = new Map<ServiceId, ServicePace>();
  readonly #decodeSpeeds = new Map<ServiceId, ServiceDecodeSpeed>();
  readonly #reports = new Map<Incarnation, ReceivedReport>();
  readonly #pressures = new Map<Incarnation, ReceivedPressures>();
  /** Sums of the arrivals in `#reports`, by service. */
  readonly #peerArrivals = new Map<ServiceId, ArrivalTotals>();
  #evacuated: ReadonlySet<ZoneId> = new Set();
  #generation = -1;
  #reportsContention = false;
  #usesPace = false;
  #sharedPaces = 0;
  #receivedPaces = 0;

  constructor(
    { region, regionByZone, catalogue, clock, isLeaving, backoffOf }: {
      region: RegionId;
      regionByZone: ReadonlyMap<ZoneId, RegionId>;
      catalogue: CatalogueView;
      clock: StallAdjustedClockView;
      /** Whether an endpoint has announced in an answer that it is leaving. */
      isLeaving: (record: EndpointRecord) => boolean;
      /** Time for which an endpoint has asked this entry to send no requests. */
      backoffOf: (record: EndpointRecord, now: Instant) => Milliseconds;
    },
  ) {
    this.#region = region;
    this.#regionByZone = regionByZone;
    this.#catalogue = catalogue;
    this.#clock = clock;
    this.#isLeaving = isLeaving;
    this.#backoffOf = backoffOf;
  }

  get(id: EndpointId): EndpointState | undefined {
    return this.#states.get(id);
  }

  all(): Iterable<EndpointState> {
    return this.#states.values();
  }

  /** Whether an endpoint has reported contention since this entry started. */
  get reportsContention(): boolean {
    return this.#reportsContention;
  }

  /** Records the contention that an endpoint reported for its machine. */
  recordContention(
    { pace }: EndpointState,
    contention: number,
    now: Instant,
  ): void {
    this.#reportsContention = true;
    pace.recordContention(contention, now);
  }

  /** Records the contention that endpoints reported to a peer. */
  receivePaces(paces: readonly ReportedPace[], now: Instant): void {
    for (const { endpoint, ...reported } of paces) {
      const state = this.#states.get(endpoint);
      if (state !== undefined) {
        this.#reportsContention = true;
        this.#receivedPaces++;
        state.pace.receiveContention(reported, now);
      }
    }
  }

  /** Returns the contention that peers should know of, that with the largest effect first, at most `limit`. */
  takeUnsharedPaces(limit: number, now: Instant): ReportedPace[] {
    const unshared: { state: EndpointState; difference: number }[] = [];
    for (const state of this.#states.values()) {
      const difference = state.pace.unsharedDifference(now);
      if (difference > 0) {
        unshared.push({ state, difference });
      }
    }
    const shared = unshared.sort((left, right) =>
      right.difference - left.difference
    ).slice(0, limit);
    this.#sharedPaces += shared.length;
    return shared.map(({ state }) => ({
      endpoint: state.record.id,
      ...state.pace.share(now)!,
    }));
  }

  /** Sets whether decisions use the pace of endpoints. Returns whether that is a change. */
  usePace(isUsed: boolean): boolean {
    if (isUsed === this.#usesPace) {
      return false;
    }
    this.#usesPace = isUsed;
    for (const pace of this.#paces.values()) {
      pace.isEnabled = isUsed;
    }
    return true;
  }

  /** What is known about the pace of the endpoints, for operators. */
  paceFigures(now: Instant): PaceFigures {
    let slow = 0;
    for (const { pace } of this.#states.values()) {
      slow += pace.slowdown(now) >= SLOW_ENDPOINT ? 1 : 0;
    }
    return { slow, shared: this.#sharedPaces, received: this.#receivedPaces };
  }

  /** Endpoints of a service in this region, including those that are leaving. */
  ofService(service: ServiceId): readonly EndpointState[] {
    return this.#byService.get(service) ?? [];
  }

  /** Whether new work may be sent to an endpoint now. */
  accepts(state: EndpointState, now: Instant): boolean {
    return this.isInService(state) && state.health.isUsable(now) &&
      this.backoffOf(state, now) === 0;
  }

  /**
   * Prompt tokens per millisecond that the region's engines prefill while they also make answers, `undefined` for plain
   * endpoints, whose work can't be told beforehand.
   */
  assumedRate(service: ServiceId, now: Instant): number | undefined {
    let rate = 0;
    for (const state of this.ofService(service)) {
      if (state.service?.engine !== undefined && this.accepts(state, now)) {
        rate += state.prefillRate * ASSUMED_PREFILL_SHARE;
      }
    }
    return rate === 0 ? undefined : rate;
  }

  /** Time for which an endpoint has asked this entry to send no requests, 0 if it accepts them. */
  backoffOf({ record }: EndpointState, now: Instant): Milliseconds {
    return this.#backoffOf(record, now);
  }

  /**
   * Whether the endpoint has restarted since this state was created: requests sent to it before are or
   * will be lost.
   */
  hasRestarted(state: EndpointState): boolean {
    const current = this.#states.get(state.record.id);
    return current !== undefined &&
      !isSameProcess(current.record, state.record);
  }

  /** Whether the endpoint has restarted with other software. */
  hasOtherSoftware({ record }: EndpointState): boolean {
    const current = this.#states.get(record.id);
    return current !== undefined &&
      current.record.softwareVersion !== record.softwareVersion;
  }

  /** Regions with an endpoint of an origin that is neither leaving nor evacuated. */
  regionsOf({ service, version }: StreamOrigin): ReadonlySet<RegionId> {
    const name = originName(service, version);
    return this.#regionsByOrigin.get(name) ?? NO_REGIONS;
  }

  /** Whether an endpoint is in service: not restarted, leaving, gone or evacuated. */
  isInService(state: EndpointState): boolean {
    const { record } = state;
    return !this.hasRestarted(state) && this.#isServing(record) &&
      !this.#catalogue.evacuatedZones.has(record.zone) &&
      this.#catalogue.endpoints.has(record.id);
  }

  /**
   * Time until a region with an endpoint of a service that is neither leaving nor evacuated may accept work.
   * `closedFor` returns that of one region, `undefined` for a region that is not allowed. Returns `undefined` if
   * there is no such endpoint.
   */
  earliestOpening(
    service: ServiceId,
    closedFor: (region: RegionId) => Milliseconds | undefined,
  ): Milliseconds | undefined {
    const { endpoints, evacuatedZones } = this.#catalogue;
    const checked = new Set<RegionId>();
    let earliest: Milliseconds | undefined;
    for (const record of endpoints.values()) {
      const region = this.#regionByZone.get(record.zone);
      if (
        record.service !== service || !this.#isServing(record) ||
        evacuatedZones.has(record.zone) || region === undefined ||
        checked.has(region)
      ) {
        continue;
      }
      checked.add(region);
      const closed = closedFor(region);
      if (closed === 0) {
        return closed;
      }
      earliest = closed !== undefined && closed < (earliest ?? Infinity)
        ? closed
        : earliest;
    }
    return earliest;
  }

  /**
   * Time until the first endpoint of a service in this region accepts work, where all have asked this entry for a
   * time without requests or are leaving. `undefined` where some accept work or may do so at any moment.
   */
  closedFor(service: ServiceId, now: Instant): Milliseconds | undefined {
    const states = this.ofService(service);
    const inService = states.filter((state) => this.isInService(state));
    if (inService.length === 0) {
      return states.length === 0 ? undefined : NO_RETURN_MS;
    }
    const wait = Math.min(
      ...inService.map((state) => this.backoffOf(state, now)),
    );
    return wait > 0 ? milliseconds(Math.ceil(wait)) : undefined;
  }

  /** Whether neither the endpoint's record nor its own answers say that it is leaving. */
  #isServing(record: EndpointRecord): boolean {
    return record.state === "ready" && !this.#isLeaving(record);
  }

  /** Applies the current catalogue if it has changed. */
  syncWithCatalogue(now: Instant): void {
    if (this.#generation === this.#catalogue.generation) {
      return;
    }
    this.#generation = this.#catalogue.generation;
    for (const record of this.#catalogue.endpoints.values()) {
      if (this.#regionByZone.get(record.zone) === this.#region) {
        this.#upsert(record.id, now);
      }
    }
    this.#removeGone();
    this.#syncEvacuations(now);
    this.#indexByService();
    this.#indexByOrigin();
  }

  /** Replaces a peer's previous report of its work, or merges a partial one into it. */
  receiveReport(from: Incarnation, report: WorkReport, now: Instant): void {
    const known = this.#reports.get(from);
    const full = report.partial && known !== undefined
      ? mergeReports(known.report, report)
      : report;
    this.#applyReport(from, -1, now);
    this.#reports.set(from, { report: full, receivedAt: now });
    this.#applyReport(from, 1, now);
    report.prefixes.forEach((update) => this.#notePrefix(update));
  }

  /** Replaces what a peer's answers need. */
  receivePressures(
    from: Incarnation,
    pressures: readonly EndpointPressure[],
    now: Instant,
  ): void {
    this.#forgetPressures(from);
    if (pressures.length > 0) {
      this.#pressures.set(from, { pressures, receivedAt: now });
    }
    for (const item of pressures) {
      this.#stateOfLife(item)?.answers.setPeerPressure(
        from,
        item.pressure,
      );
    }
  }

  /** What this entry's answers need, where that limits what an engine may prefill. */
  ownPressures(now: Instant): EndpointPressure[] {
    const pressures: EndpointPressure[] = [];
    for (const { record: { id, life }, answers } of this.#states.values()) {
      if (answers.limitsPrefill(now)) {
        pressures.push({
          endpoint: id,
          life,
          pressure: answers.ownPressure(now),
        });
      }
    }
    return pressures;
  }

  /** What arrived for a service at this entry's peers within the last second. */
  peerArrivals(service: ServiceId): Readonly<ArrivalTotals> {
    return this.#peerArrivals.get(service) ?? NO_ARRIVALS;
  }

  /** Whether a peer has reported work recently, so that it serves callers or did so a moment ago. */
  hasReport(from: Incarnation): boolean {
    return this.#reports.has(from);
  }

  /** Number of peers in the region that have requests. */
  busyPeerCount(): number {
    let busy = 0;
    for (const { report } of this.#reports.values()) {
      busy += report.arrivals.length > 0 || report.endpoints.length > 0 ? 1 : 0;
    }
    return busy;
  }

  /** Drops the reports of peers that have fallen silent. */
  expire(now: Instant): void {
    for (const [from, { receivedAt }] of this.#reports) {
      if (this.#isExpired(receivedAt, now)) {
        this.#applyReport(from, -1, now);
        this.#reports.delete(from);
      }
    }
    for (const [from, { receivedAt }] of this.#pressures) {
      if (this.#isExpired(receivedAt, now)) {
        this.#forgetPressures(from);
      }
    }
  }

  /**
   * Whether a peer has fallen silent since a report. After a pause of this process the peer's next reports are still
   * unread. If the pause counted as silence, the engines that the peer uses would look idle.
   */
  #isExpired(receivedAt: Instant, now: Instant): boolean {
    return this.#clock.since(receivedAt, now) > REPORT_LIFETIME_MS;
  }

  #forgetPressures(from: Incarnation): void {
    for (const item of this.#pressures.get(from)?.pressures ?? []) {
      this.#states.get(item.endpoint)?.answers.setPeerPressure(from, 0);
    }
    this.#pressures.delete(from);
  }

  #upsert(id: EndpointId, now: Instant): void {
    const record = this.#catalogue.endpoints.get(id)!;
    const service = this.#catalogue.document?.services.get(record.service);
    const known = this.#states.get(id);
    if (known === undefined || !isSameProcess(known.record, record)) {
      // After a restart the endpoint has no cached prefixes and nothing in flight.
      const state = new EndpointState(
        record,
        service,
        now,
        {
          pace: this.#paceOf(record.service),
          decode: this.#decodeSpeedOf(record.service),
        },
      );
      this.#states.set(id, state);
      this.#addPeerWork(state);
    } else {
      known.updateRecord(record, now);
      known.service = service;
    }
  }

  #paceOf(service: ServiceId): ServicePace {
    let pace = this.#paces.get(service);
    if (pace === undefined) {
      pace = new ServicePace();
      pace.isEnabled = this.#usesPace;
      this.#paces.set(service, pace);
    }
    return pace;
  }

  #decodeSpeedOf(service: ServiceId): ServiceDecodeSpeed {
    let speed = this.#decodeSpeeds.get(service);
    if (speed === undefined) {
      speed = new ServiceDecodeSpeed();
      this.#decodeSpeeds.set(service, speed);
    }
    return speed;
  }

  /** Removes endpoints that have departed, except those where this entry still has requests in flight. */
  #removeGone(): void {
    for (const [id, state] of this.#states) {
      if (!this.#catalogue.endpoints.has(id) && state.own.requests === 0) {
        this.#states.delete(id);
      }
    }
  }

  #syncEvacuations(now: Instant): void {
    for (const zone of this.#evacuated) {
      if (!this.#catalogue.evacuatedZones.has(zone)) {
        [...this.#states.values()]
          .filter(({ record }) => record.zone === zone)
          .forEach((state) => state.markPossiblyCold(now));
      }
    }
    this.#evacuated = new Set(this.#catalogue.evacuatedZones);
  }

  #indexByService(): void {
    this.#byService.clear();
    for (const state of this.#states.values()) {
      if (!this.#catalogue.endpoints.has(state.record.id)) {
        continue;
      }
      const { service } = state.record;
      const list = this.#byService.get(service) ?? [];
      list.push(state);
      this.#byService.set(service, list);
    }
    for (const service of this.#paces.keys()) {
      if (!this.#byService.has(service)) {
        this.#paces.delete(service);
        this.#decodeSpeeds.delete(service);
      }
    }
  }

  #indexByOrigin(): void {
    this.#regionsByOrigin.clear();
    for (const record of this.#catalogue.endpoints.values()) {
      const region = this.#regionByZone.get(record.zone);
      if (
        region !== undefined && this.#isServing(record) &&
        !this.#catalogue.evacuatedZones.has(record.zone)
      ) {
        const name = originName(record.service, record.softwareVersion);
        const regions = this.#regionsByOrigin.get(name) ?? new Set();
        regions.add(region);
        this.#regionsByOrigin.set(name, regions);
      }
    }
  }

  #applyReport(from: Incarnation, sign: 1 | -1, now: Instant): void {
    const known = this.#reports.get(from);
    for (const work of known?.report.endpoints ?? []) {
      this.#stateOfLife(work)?.applyPeerWork(work, sign, now);
    }
    for (const { service, work, requests } of known?.report.arrivals ?? []) {
      const totals = this.#peerArrivals.get(service) ?? { ...NO_ARRIVALS };
      totals.work += sign * work;
      totals.requests += sign * requests;
      this.#peerArrivals.set(service, totals);
    }
  }

  /** Adds the work that peers reported for an endpoint before its record was read. */
  #addPeerWork({ record, peers }: EndpointState): void {
    for (const { report } of this.#reports.values()) {
      const work = report.endpoints.find(({ endpoint, life }) =>
        endpoint === record.id && life === record.life
      );
      peers.prefill += work?.prefill ?? 0;
      peers.requests += work?.requests ?? 0;
      peers.tokens += work?.tokens ?? 0;
    }
  }

  #notePrefix(update: PrefixUpdate): void {
    this.#stateOfLife(update)?.prefixes.recordUse(update.parts);
  }

  /**
   * The state of the endpoint that a peer's report names, `undefined` if the report is about another life
   * of it.
   */
  #stateOfLife(
    { endpoint, life }: Pick<EndpointWork, "endpoint" | "life">,
  ): EndpointState | undefined {
    const state = this.#states.get(endpoint);
    return state?.record.life === life ? state : undefined;
  }
}

function originName(service: ServiceId, version: string): string {
  return `${service} ${version}`;
}

/** Replaces the endpoints that a partial report names. Arrivals are always reported in full. */
function mergeReports(known: WorkReport, update: WorkReport): WorkReport {
  const updated = new Set(update.endpoints.map(({ endpoint }) => endpoint));
  return {
    ...update,
    endpoints: [
      ...known.endpoints.filter(({ endpoint }) => !updated.has(endpoint)),
      ...update.endpoints,
    ],
  };
}
