/**
 * Reports this entry's work in flight to the region's other entries, so that all choose engines based on
 * the same state.
 *
 * @module
 */
import type {
  EndpointWork,
  EntryRecord,
  FleetController,
  PrefixUpdate,
} from "../fleet/index.ts";
import type { EndpointId, Instant, ZoneId } from "../ids/index.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { GatewayIdentity } from "./messages.ts";
import { MIN_FETCH_TOKENS } from "./endpoint_placement.ts";
import type { RegionController } from "./region_controller.ts";
import type { ServingSet } from "./serving_set.ts";

/**
 * Time between two reports of changes. Entries that hear of each other's prompts too late send theirs to
 * the same engine, and every stream on it pauses for all of these prompts.
 */
const CHANGE_INTERVAL_MS = 20;
/**
 * The same time for each recipient. With dozens of serving entries in a zone, the reports of all to all would take
 * more of their processor time than the requests, and late entries cost more than late reports.
 */
const CHANGE_INTERVAL_PER_RECIPIENT_MS = 2.5;
/** Time between two full reports to the own zone, which repair what a lost datagram left wrong. */
const FULL_REPORT_INTERVAL_MS = 500;
/** One of this many full reports also goes to the region's other zones. */
const FULL_REPORTS_PER_REGION_REPORT = 2;
/** Maximum number of prefixes in one report, to keep the datagram small. */
const MAX_PREFIXES = 8;
/**
 * Empty full reports after the last work: one of them reaches every zone, and if it is lost the work
 * expires by itself.
 */
const MAX_EMPTY_REPORTS = 2;
/** Maximum number of deferred prefixes in one report to other zones. */
const MAX_DEFERRED_PREFIXES = 24;
/** Smaller changes of prefill tokens are not reported at once, since they make no stream pause. */
const MIN_CHANGE_TOKENS = 1_000;

/** What reports are made from. */
export interface ReporterSources {
  readonly self: Pick<GatewayIdentity, "region" | "zone" | "regionByZone">;
  readonly fleet: FleetController;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  readonly serving: ServingSet;
  /** Hash of the published catalogue as this entry holds it. */
  readonly catalogueHash: () => number;
}

/**
 * Sends work reports.
 *
 * Entries choose engines in their own zone as long as it has any, so that other zones rarely act on what
 * happens here. When other zones were told of each prompt, reports were 418,000 of the 436,000 datagrams
 * that 91 entries sent in 40 s, and traffic between zones was more than doubled. Now other zones are told
 * at once only of changes at their own engines, and of the rest once a second.
 */
export class WorkReporter {
  readonly #sources: ReporterSources;
  readonly #zones: ReadonlySet<ZoneId>;
  readonly #lastReported = new Map<EndpointId, EndpointWork>();
  #fullReportAt: Instant | undefined;
  #changeReportAt: Instant | undefined;
  /** Entries that received the last report of changes. */
  #changeRecipients = 0;
  #fullReports = 0;
  /** Whether the last report of what answers need listed any. */
  #hadPressures = false;
  /** Consecutive full reports without any work. */
  #emptyReports = 0;
  #prefixes: PrefixUpdate[] = [];
  /** Prefixes that were reported to the own zone but not yet to the others. */
  #deferredPrefixes: PrefixUpdate[] = [];

  constructor(sources: ReporterSources) {
    const { region, regionByZone } = sources.self;
    this.#sources = sources;
    this.#zones = new Set(
      [...regionByZone].filter(([, zoneRegion]) => zoneRegion === region).map((
        [zone],
      ) => zone),
    );
  }

  tick(prefixes: readonly PrefixUpdate[], now: Instant): void {
    const { fleet, self } = this.#sources;
    this.#prefixes.push(...prefixes);
    if (
      !fleet.liveMembers().some(({ record }) => record.region === self.region)
    ) {
      this.#prefixes = [];
      this.#deferredPrefixes = [];
      return;
    }
    if (now - (this.#fullReportAt ?? -Infinity) >= FULL_REPORT_INTERVAL_MS) {
      this.#fullReportAt = now;
      this.#reportAll(now);
    } else if (
      now - (this.#changeReportAt ?? -Infinity) >= this.#changeInterval
    ) {
      this.#reportChanges(now);
    }
  }

  get #changeInterval(): number {
    return Math.max(
      CHANGE_INTERVAL_MS,
      this.#changeRecipients * CHANGE_INTERVAL_PER_RECIPIENT_MS,
    );
  }

  /**
   * Sends a full report, unless there has been nothing to report for a while: no report means the same. 89
   * idle entries used to send 4,000 empty reports per second, half of all processor time before the first
   * request.
   */
  #reportAll(now: Instant): void {
    this.#emptyReports = this.#hasWork(now) ? 0 : this.#emptyReports + 1;
    if (this.#emptyReports > MAX_EMPTY_REPORTS) {
      return;
    }
    this.#lastReported.clear();
    const endpoints = [...this.#sources.endpoints.all()]
      .filter(({ own }) => own.requests > 0)
      .map((state) => state.report());
    const toRegion = this.#fullReports++ % FULL_REPORTS_PER_REGION_REPORT === 0;
    const zones = toRegion ? this.#zones : this.#affectedZones([]);
    this.#send(
      { partial: false, endpoints, zones, includeStandby: toRegion },
      now,
    );
    this.#reportPressures(zones, now);
  }

  #reportPressures(zones: ReadonlySet<ZoneId>, now: Instant): void {
    const pressures = this.#sources.endpoints.ownPressures(now);
    if (pressures.length > 0 || this.#hadPressures) {
      this.#hadPressures = pressures.length > 0;
      this.#sources.fleet.sender.sendPressures(
        pressures,
        (record) => zones.has(record.zone) && this.#servesCallers(record, now),
      );
    }
  }

  #servesCallers(record: EntryRecord, now: Instant): boolean {
    const { endpoints, serving } = this.#sources;
    return serving.has(record, now) || endpoints.hasReport(record.incarnation);
  }

  #hasWork(now: Instant): boolean {
    const { endpoints, regions } = this.#sources;
    const busy = [...endpoints.all()].some(({ own }) => own.requests > 0);
    return busy || this.#prefixes.length > 0 || regions.report(now).length > 0;
  }

  #reportChanges(now: Instant): void {
    const changed: EndpointState[] = [];
    for (const state of this.#sources.endpoints.all()) {
      if (this.#hasPrefillChanged(state)) {
        changed.push(state);
      }
    }
    if (changed.length > 0) {
      this.#changeReportAt = now;
      this.#emptyReports = 0;
      const zones = this.#affectedZones(
        changed.map(({ record }) => record.zone),
      );
      const endpoints = changed.map((state) => state.report());
      this.#send(
        { partial: true, endpoints, zones, includeStandby: false },
        now,
      );
    }
  }

  /** Only changes of prefill are urgent; the rest follows with the next full report. */
  #hasPrefillChanged({ record, own: { prefill } }: EndpointState): boolean {
    const lastPrefill = this.#lastReported.get(record.id)?.prefill ?? 0;
    return Math.abs(prefill - lastPrefill) >= MIN_CHANGE_TOKENS ||
      (prefill === 0) !== (lastPrefill === 0) &&
        lastPrefill >= MIN_CHANGE_TOKENS;
  }

  /**
   * Zones that act on changes at engines in the given zones: these and the own zone. If a zone has no
   * engine that takes work, its entries choose among the engines of other zones, so that all zones have to
   * be told.
   */
  #affectedZones(zones: readonly ZoneId[]): ReadonlySet<ZoneId> {
    const { endpoints, self } = this.#sources;
    const zonesWithEngine = new Set<ZoneId>();
    for (const state of endpoints.all()) {
      if (state.service?.engine !== undefined && endpoints.isInService(state)) {
        zonesWithEngine.add(state.record.zone);
      }
    }
    const anyZoneWithoutEngine = [...this.#zones].some((zone) =>
      !zonesWithEngine.has(zone)
    );
    return anyZoneWithoutEngine ? this.#zones : new Set([self.zone, ...zones]);
  }

  #send(
    { partial, endpoints, zones, includeStandby }: {
      partial: boolean;
      endpoints: readonly EndpointWork[];
      zones: ReadonlySet<ZoneId>;
      /** Whether to tell standby entries too, which have to know how many serving entries are needed. */
      includeStandby: boolean;
    },
    now: Instant,
  ): void {
    const { fleet, regions } = this.#sources;
    endpoints.forEach((work) => this.#lastReported.set(work.endpoint, work));
    const toAllZones = zones.size === this.#zones.size;
    const report = {
      partial,
      endpoints,
      prefixes: this.#nextPrefixes(toAllZones),
      arrivals: regions.report(now),
      picture: this.#sources.catalogueHash(),
    };
    const recipients = fleet.sender.sendWork(
      report,
      (record) =>
        zones.has(record.zone) &&
        (includeStandby || this.#servesCallers(record, now)),
    );
    if (partial) {
      this.#changeRecipients = recipients;
    }
  }

  #nextPrefixes(toAllZones: boolean): PrefixUpdate[] {
    const next = this.#prefixes.splice(0, MAX_PREFIXES);
    if (toAllZones) {
      return [
        ...this.#deferredPrefixes.splice(0, MAX_DEFERRED_PREFIXES),
        ...next,
      ];
    }
    this.#deferredPrefixes.push(...next.filter(isWorthFetching));
    return next;
  }
}

/** Whether a prefix is long enough to be fetched, which is all that other zones need it for. */
function isWorthFetching({ parts }: PrefixUpdate): boolean {
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  return tokens >= MIN_FETCH_TOKENS;
}
