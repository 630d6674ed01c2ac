/**
 * Tells the region's other entries what this one has in flight, so that their choices of an engine are
 * made from one picture.
 *
 * @module
 */
import type {
  EndpointWork,
  FleetController,
  FleetRecord,
  PrefixNews,
} from "../fleet/index.ts";
import type { EndpointId, Instant, ZoneId } from "../ids/index.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { GatewaySelf } from "./messages.ts";
import { LEAST_FETCH_TOKENS } from "./placement.ts";
import type { RegionController } from "./region_controller.ts";
import type { ServingSet } from "./serving_set.ts";

/**
 * Between two reports of what changed. Entries that hear of each other's prompts only after a while
 * send theirs to the same engine, and every stream on it pauses for all of them.
 */
const CHANGE_INTERVAL_MS = 20;
/** Between two whole reports to the own zone: repairs what a lost datagram left wrong. */
const WHOLE_INTERVAL_MS = 500;
/** Every so many whole reports one goes to the region's other zones too. */
const WHOLES_TO_REGION = 2;
/** Prefixes in one report: keeps a datagram small. */
const MOST_PREFIXES = 8;
/** Empty whole reports after the last work: one reaches each zone, and what is lost runs out by itself. */
const EMPTY_WHOLES = 2;
/** Prefixes that other zones were not told yet, in one report. */
const MOST_FAR_PREFIXES = 24;
/** Fewer prompt tokens than this make no stream pause. */
const LEAST_CHANGE_TOKENS = 1_000;

/** What reports are made from. */
export interface ReporterSources {
  readonly self: Pick<GatewaySelf, "region" | "zone" | "regionByZone">;
  readonly fleet: FleetController;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  readonly serving: ServingSet;
  /** Of the published picture. */
  readonly picture: () => number;
}

/**
 * Sends work reports.
 *
 * Entries choose engines of their own zone as long as it has any, so the other zones hardly ever act on
 * what happens here. While they were told of each prompt, reports were 418,000 of the 436,000 datagrams
 * of 91 entries in 40 s, and bytes between zones over twice as many. They are told what concerns their
 * own engines, and the rest once a second.
 */
export class WorkReporter {
  readonly #sources: ReporterSources;
  readonly #zones: ReadonlySet<ZoneId>;
  readonly #told = new Map<EndpointId, EndpointWork>();
  #wholeAt: Instant | undefined;
  #changeAt: Instant | undefined;
  #wholes = 0;
  /** Whole reports in a row that told of no work. */
  #emptyWholes = 0;
  #prefixes: PrefixNews[] = [];
  /** Told to the own zone, and not yet to the others. */
  #farPrefixes: PrefixNews[] = [];

  constructor(sources: ReporterSources) {
    const { region, regionByZone } = sources.self;
    this.#sources = sources;
    this.#zones = new Set(
      [...regionByZone].filter(([, of]) => of === region).map(([zone]) => zone),
    );
  }

  tick(prefixes: readonly PrefixNews[], now: Instant): void {
    const { fleet, self } = this.#sources;
    this.#prefixes.push(...prefixes);
    if (!fleet.live().some(({ record }) => record.region === self.region)) {
      this.#prefixes = [];
      this.#farPrefixes = [];
      return;
    }
    if (now - (this.#wholeAt ?? -Infinity) >= WHOLE_INTERVAL_MS) {
      this.#wholeAt = now;
      this.#tellAll(now);
    } else if (now - (this.#changeAt ?? -Infinity) >= CHANGE_INTERVAL_MS) {
      this.#tellChanges(now);
    }
  }

  /**
   * Tells all, unless there has been nothing to tell for a while: no report means the same. 89 entries
   * that rest sent 4,000 datagrams a second to say so, half of all processor time until the first request.
   */
  #tellAll(now: Instant): void {
    this.#emptyWholes = this.#hasWork(now) ? 0 : this.#emptyWholes + 1;
    if (this.#emptyWholes > EMPTY_WHOLES) {
      return;
    }
    this.#told.clear();
    const endpoints = [...this.#sources.endpoints.all()]
      .filter(({ own }) => own.requests > 0)
      .map((state) => state.report());
    const everywhere = this.#wholes++ % WHOLES_TO_REGION === 0;
    const zones = everywhere ? this.#zones : this.#concerned([]);
    this.#tell({ partial: false, endpoints, zones, everyone: everywhere }, now);
  }

  #hasWork(now: Instant): boolean {
    const { endpoints, regions } = this.#sources;
    const busy = [...endpoints.all()].some(({ own }) => own.requests > 0);
    return busy || this.#prefixes.length > 0 || regions.report(now).length > 0;
  }

  #tellChanges(now: Instant): void {
    const changed = [...this.#sources.endpoints.all()].filter((state) =>
      this.#isNews(state.report())
    );
    if (changed.length > 0) {
      this.#changeAt = now;
      this.#emptyWholes = 0;
      const zones = this.#concerned(changed.map(({ record }) => record.zone));
      const endpoints = changed.map((state) => state.report());
      this.#tell({ partial: true, endpoints, zones, everyone: false }, now);
    }
  }

  /** Prompts that are read matter at once; the rest is told with the next whole report. */
  #isNews({ endpoint, prefill }: EndpointWork): boolean {
    const told = this.#told.get(endpoint)?.prefill ?? 0;
    return Math.abs(prefill - told) >= LEAST_CHANGE_TOKENS ||
      (prefill === 0) !== (told === 0) && told >= LEAST_CHANGE_TOKENS;
  }

  /**
   * Zones that act on news of engines in the given ones: these, and the own one. Where a zone has no
   * engine that takes work, its entries choose among those of the others, and all are told.
   */
  #concerned(zones: readonly ZoneId[]): ReadonlySet<ZoneId> {
    const { endpoints, self } = this.#sources;
    const serving = new Set<ZoneId>();
    for (const state of endpoints.all()) {
      if (state.service?.engine !== undefined && endpoints.isOpen(state)) {
        serving.add(state.record.zone);
      }
    }
    const shared = [...this.#zones].some((zone) => !serving.has(zone));
    return shared ? this.#zones : new Set([self.zone, ...zones]);
  }

  #tell(
    { partial, endpoints, zones, everyone }: {
      partial: boolean;
      endpoints: readonly EndpointWork[];
      zones: ReadonlySet<ZoneId>;
      /** Also those that stand by: they have to know how many are needed. */
      everyone: boolean;
    },
    now: Instant,
  ): void {
    const { fleet, regions, serving } = this.#sources;
    endpoints.forEach((work) => this.#told.set(work.endpoint, work));
    const far = zones.size === this.#zones.size;
    const report = {
      partial,
      endpoints,
      prefixes: this.#nextPrefixes(far),
      arrivals: regions.report(now),
      picture: this.#sources.picture(),
    };
    const carries = (record: FleetRecord): boolean =>
      serving.has(record, now) ||
      this.#sources.endpoints.hasReport(record.incarnation);
    fleet.mail.sendWork(
      report,
      (record) => zones.has(record.zone) && (everyone || carries(record)),
    );
  }

  #nextPrefixes(far: boolean): PrefixNews[] {
    const next = this.#prefixes.splice(0, MOST_PREFIXES);
    if (far) {
      return [...this.#farPrefixes.splice(0, MOST_FAR_PREFIXES), ...next];
    }
    this.#farPrefixes.push(...next.filter(isWorthFetching));
    return next;
  }
}

/** Other zones need a prefix only to have it fetched. */
function isWorthFetching({ parts }: PrefixNews): boolean {
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  return tokens >= LEAST_FETCH_TOKENS;
}
