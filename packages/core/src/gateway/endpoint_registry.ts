/**
 * The endpoints of this entry's region and what is in flight there, by this entry and its peers.
 *
 * @module
 */
import type { EndpointWork, PrefixNews, WorkReport } from "../fleet/index.ts";
import type {
  EndpointId,
  Incarnation,
  Instant,
  Milliseconds,
  RegionId,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import { type EndpointRecord, isSameLife } from "../routes/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import { EndpointState } from "./endpoint_state.ts";

/**
 * A peer's report older than this is not counted any more: the peer has ended or is cut off. Two whole
 * reports to other zones, and a little.
 */
const REPORT_LIFETIME_MS = 2_200;

interface KnownReport {
  readonly report: WorkReport;
  readonly at: Instant;
}

/** Keeps the state of each endpoint; follows the catalogue. */
export class EndpointRegistry {
  readonly #region: RegionId;
  readonly #regionByZone: ReadonlyMap<ZoneId, RegionId>;
  readonly #catalogue: CatalogueView;
  readonly #listened: ListenedTimeView;
  readonly #isLeaving: (record: EndpointRecord) => boolean;
  readonly #restOf: (record: EndpointRecord, now: Instant) => Milliseconds;
  readonly #states = new Map<EndpointId, EndpointState>();
  readonly #byService = new Map<ServiceId, EndpointState[]>();
  readonly #reports = new Map<Incarnation, KnownReport>();
  #evacuated: ReadonlySet<ZoneId> = new Set();
  #generation = -1;

  constructor(
    { region, regionByZone, catalogue, listened, isLeaving, restOf }: {
      region: RegionId;
      regionByZone: ReadonlyMap<ZoneId, RegionId>;
      catalogue: CatalogueView;
      listened: ListenedTimeView;
      /** Whether an endpoint has said itself that it leaves. */
      isLeaving: (record: EndpointRecord) => boolean;
      /** Time for which an endpoint wants nothing from this entry. */
      restOf: (record: EndpointRecord, now: Instant) => Milliseconds;
    },
  ) {
    this.#region = region;
    this.#regionByZone = regionByZone;
    this.#catalogue = catalogue;
    this.#listened = listened;
    this.#isLeaving = isLeaving;
    this.#restOf = restOf;
  }

  get(id: EndpointId): EndpointState | undefined {
    return this.#states.get(id);
  }

  all(): Iterable<EndpointState> {
    return this.#states.values();
  }

  /** Endpoints of a service in the own region, leaving ones included. */
  of(service: ServiceId): readonly EndpointState[] {
    return this.#byService.get(service) ?? [];
  }

  /** Whether new work may go to an endpoint now. */
  accepts(state: EndpointState, now: Instant): boolean {
    return this.isOpen(state) && state.health.usable(now) &&
      this.restOf(state, now) === 0;
  }

  /** Time for which an endpoint wants nothing from this entry, 0 where it takes requests. */
  restOf({ record }: EndpointState, now: Instant): Milliseconds {
    return this.#restOf(record, now);
  }

  /** Whether an endpoint has started again since: what was sent there is lost or will be. */
  hasStartedAgain(state: EndpointState): boolean {
    const present = this.#states.get(state.record.id);
    return present !== undefined && !isSameLife(present.record, state.record);
  }

  /** Whether an endpoint is neither leaving, nor gone, nor evacuated. */
  isOpen(state: EndpointState): boolean {
    const { record } = state;
    return !this.hasStartedAgain(state) && this.#stays(record) &&
      !this.#catalogue.evacuated.has(record.zone) &&
      this.#catalogue.endpoints.has(record.id);
  }

  /** Whether some endpoint of a service, in any region that will do, is neither leaving nor evacuated. */
  isPublished(
    service: ServiceId,
    willDo: (region: RegionId) => boolean,
  ): boolean {
    const { endpoints, evacuated } = this.#catalogue;
    for (const record of endpoints.values()) {
      const region = this.#regionByZone.get(record.zone);
      if (
        record.service === service && this.#stays(record) &&
        !evacuated.has(record.zone) && region !== undefined && willDo(region)
      ) {
        return true;
      }
    }
    return false;
  }

  /** Neither its record nor its own answers say that it leaves. */
  #stays(record: EndpointRecord): boolean {
    return record.state === "ready" && !this.#isLeaving(record);
  }

  /** Follows the catalogue, if it changed. */
  follow(now: Instant): void {
    if (this.#generation === this.#catalogue.generation) {
      return;
    }
    this.#generation = this.#catalogue.generation;
    for (const record of this.#catalogue.endpoints.values()) {
      if (this.#regionByZone.get(record.zone) === this.#region) {
        this.#take(record.id, now);
      }
    }
    this.#dropGone();
    this.#followEvacuations(now);
    this.#index();
  }

  /** Takes a peer's report of its work, in place of its former one. */
  learn(from: Incarnation, report: WorkReport, now: Instant): void {
    const known = this.#reports.get(from);
    const whole = report.partial && known !== undefined
      ? merge(known.report, report)
      : report;
    this.#count(from, -1, now);
    this.#reports.set(from, { report: whole, at: now });
    this.#count(from, 1, now);
    report.prefixes.forEach((news) => this.#learnPrefix(news));
  }

  /** Reports of peers that still count. */
  reports(): Iterable<KnownReport> {
    return this.#reports.values();
  }

  /** Whether a peer has told of its work lately: it carries, or did so a moment ago. */
  hasReport(from: Incarnation): boolean {
    return this.#reports.has(from);
  }

  /** Peers of the region that carry requests. */
  busyPeers(): number {
    return [...this.#reports.values()].filter(({ report }) =>
      report.arrivals.length > 0 || report.endpoints.length > 0
    ).length;
  }

  /** Forgets reports of peers that fell silent. */
  expire(now: Instant): void {
    for (const [from, { at }] of this.#reports) {
      // After a pause the peer's next reports wait to be read: without it its engines would look idle.
      if (this.#listened.since(at, now) > REPORT_LIFETIME_MS) {
        this.#count(from, -1, now);
        this.#reports.delete(from);
      }
    }
  }

  #take(id: EndpointId, now: Instant): void {
    const record = this.#catalogue.endpoints.get(id)!;
    const service = this.#catalogue.document?.services.get(record.service);
    const known = this.#states.get(id);
    if (known === undefined || !isSameLife(known.record, record)) {
      // Another life holds nothing of what the former had, and has nothing in flight.
      const state = new EndpointState(record, service, now);
      this.#states.set(id, state);
      this.#countAllAt(state);
    } else {
      known.renew(record, now);
      known.service = service;
    }
  }

  /** States of endpoints that left stay while something of ours is in flight there. */
  #dropGone(): void {
    for (const [id, state] of this.#states) {
      if (!this.#catalogue.endpoints.has(id) && state.own.requests === 0) {
        this.#states.delete(id);
      }
    }
  }

  #followEvacuations(now: Instant): void {
    for (const zone of this.#evacuated) {
      if (!this.#catalogue.evacuated.has(zone)) {
        [...this.#states.values()]
          .filter(({ record }) => record.zone === zone)
          .forEach((state) => state.markPossiblyCold(now));
      }
    }
    this.#evacuated = new Set(this.#catalogue.evacuated);
  }

  #index(): void {
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
  }

  #count(from: Incarnation, sign: 1 | -1, now: Instant): void {
    const known = this.#reports.get(from);
    for (const work of known?.report.endpoints ?? []) {
      this.#living(work)?.countPeer(work, sign, now);
    }
  }

  /** Reports may name an endpoint before its record is read. */
  #countAllAt({ record, peers }: EndpointState): void {
    for (const { report } of this.#reports.values()) {
      const work = report.endpoints.find(({ endpoint, life }) =>
        endpoint === record.id && life === record.life
      );
      peers.prefill += work?.prefill ?? 0;
      peers.requests += work?.requests ?? 0;
      peers.tokens += work?.tokens ?? 0;
    }
  }

  #learnPrefix(news: PrefixNews): void {
    this.#living(news)?.prefixes.use(news.parts);
  }

  /** The endpoint that a peer speaks of, unless it means another life. */
  #living(
    { endpoint, life }: Pick<EndpointWork, "endpoint" | "life">,
  ): EndpointState | undefined {
    const state = this.#states.get(endpoint);
    return state?.record.life === life ? state : undefined;
  }
}

/** What is named anew takes the place of what was; arrivals are always whole. */
function merge(known: WorkReport, news: WorkReport): WorkReport {
  const named = new Set(news.endpoints.map(({ endpoint }) => endpoint));
  return {
    ...news,
    endpoints: [
      ...known.endpoints.filter(({ endpoint }) => !named.has(endpoint)),
      ...news.endpoints,
    ],
  };
}
