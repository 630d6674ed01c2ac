/**
 * Chooses which entries of a zone serve its callers and which stand by.
 *
 * Each serving entry sends to every engine of its region and hears of the other entries' work with a
 * delay. If 65 entries of a region handle two requests per second each, none of them knows the state of
 * its engines: short answers pause beside prompts that several entries gave one engine at once, and a
 * connection or a prefix is seldom reused. A few entries carry the same load with the accurate knowledge
 * of a small fleet, and the others cost next to nothing until they are needed.
 *
 * There is no coordinator. Every entry orders the ready entries of a zone in the same way, by weight and
 * then by a hash of their id, and takes as many from the top as the zone's requests need. An entry that
 * falls silent drops out of all views and the next one moves up.
 *
 * @module
 */
import type { EntryRecord, FleetController } from "../fleet/index.ts";
import {
  hash32,
  type Incarnation,
  type Instant,
  type RegionId,
  type ZoneId,
} from "../ids/index.ts";
import type { GatewayIdentity } from "./messages.ts";
import type { RegionController } from "./region_controller.ts";

/**
 * Minimum number of serving entries in a zone, at any load: if one ends, its callers continue with the
 * others and only a small part of the requests is lost. In a simulation with sixty entries per region, less
 * of the total request value was earned if all served than with six per zone; four per zone earned as much
 * as six.
 */
export const MIN_SERVING_PER_ZONE = 4;
/**
 * Requests per second that a serving entry is planned to handle per processor core. This is half a core,
 * at the 8 ms of one core that a streamed request with forty events took, so that a burst or the loss of a
 * zone fits until more entries serve. No other values were tried.
 */
const REQUESTS_PER_CORE = 60;
/** Margin for a zone that has more than its equal share of the region's callers. */
const ZONE_LOAD_MARGIN = 1.5;
/** The selection is renewed this often, so that the list of entries given to callers may lag by as much. */
const SELECTION_LIFETIME_MS = 100;

/** What `ServingSet` depends on. */
export interface ServingSources {
  readonly self: Pick<GatewayIdentity, "region">;
  readonly fleet: FleetController;
  readonly regions: RegionController;
}

interface Selection {
  readonly at: Instant;
  readonly records: readonly EntryRecord[];
  readonly incarnations: ReadonlySet<Incarnation>;
}

/** Selects and caches the serving entries of each region. */
export class ServingSet {
  readonly #sources: ServingSources;
  readonly #selections = new Map<RegionId, Selection>();

  constructor(sources: ServingSources) {
    this.#sources = sources;
  }

  /** The serving entries of a region, which may include this one. */
  of(region: RegionId, now: Instant): readonly EntryRecord[] {
    return this.#select(region, now).records;
  }

  /** Whether an entry is one of its region's serving entries. */
  has({ region, incarnation }: EntryRecord, now: Instant): boolean {
    return this.#select(region, now).incarnations.has(incarnation);
  }

  #select(region: RegionId, now: Instant): Selection {
    const cached = this.#selections.get(region);
    if (cached !== undefined && now - cached.at < SELECTION_LIFETIME_MS) {
      return cached;
    }
    const { fleet, regions } = this.#sources;
    const records = servingOfZones(
      fleet.derive(rankAccepting, region),
      regions.requestRate(region, fleet, now),
    );
    const incarnations = new Set(
      records.map(({ incarnation }) => incarnation),
    );
    const selection = { at: now, records, incarnations };
    this.#selections.set(region, selection);
    return selection;
  }
}

/**
 * The serving entries of each zone, out of a region's ready entries that receive `requests` per second
 * together.
 */
export function servingByZone(
  ready: readonly EntryRecord[],
  requests: number,
): EntryRecord[] {
  return servingOfZones(rankByZone(ready), requests);
}

/** The serving entries of each zone, out of the ready entries of each in order of rank. */
function servingOfZones(
  zones: readonly (readonly EntryRecord[])[],
  requests: number,
): EntryRecord[] {
  return zones.flatMap((ranked) =>
    servingByRank(ranked, ZONE_LOAD_MARGIN * requests / zones.length)
  );
}

/** Accepting entries of a region in order of rank, in a list for each zone. */
function rankAccepting(
  region: RegionId,
  fleet: FleetController,
): readonly (readonly EntryRecord[])[] {
  return rankByZone(acceptingEntriesOf(region, fleet));
}

function rankByZone(records: readonly EntryRecord[]): EntryRecord[][] {
  const zones = new Map<ZoneId, EntryRecord[]>();
  for (const record of records) {
    const list = zones.get(record.zone) ?? [];
    list.push(record);
    zones.set(record.zone, list);
  }
  return [...zones.values()].map(rankEntries);
}

/** The serving entries of one zone that receives `requests` per second, in order of rank. */
export function servingInZone(
  ready: readonly EntryRecord[],
  requests: number,
): EntryRecord[] {
  return servingByRank(rankEntries(ready), requests);
}

function servingByRank(
  ranked: readonly EntryRecord[],
  requests: number,
): EntryRecord[] {
  const requiredWeight = requests / REQUESTS_PER_CORE;
  let selectedWeight = 0;
  return ranked.filter(({ weight }, index) => {
    const needed = index < MIN_SERVING_PER_ZONE ||
      selectedWeight < requiredWeight;
    selectedWeight += weight;
    return needed;
  });
}

/** Entries of a region that serve callers at any load, chosen from all that may be alive. */
export function minimumServingOf(
  region: RegionId,
  fleet: FleetController,
): readonly EntryRecord[] {
  return fleet.derive(selectMinimumServing, region);
}

function selectMinimumServing(
  region: RegionId,
  fleet: FleetController,
): readonly EntryRecord[] {
  const candidates = [
    fleet.record,
    ...fleet.possiblyLiveMembers().map(({ record }) => record),
  ].filter((record) => record.region === region);
  return servingByZone(candidates, 0);
}

/** Entries of a region that accept requests: the ready ones, or the outdated ones if none is ready. */
export function acceptingEntriesOf(
  region: RegionId,
  fleet: FleetController,
): readonly EntryRecord[] {
  return fleet.derive(selectAccepting, region);
}

function selectAccepting(
  region: RegionId,
  fleet: FleetController,
): readonly EntryRecord[] {
  const present = [
    fleet.record,
    ...fleet.liveMembers().map(({ record }) => record),
  ]
    .filter((record) => record.region === region);
  const ready = present.filter(({ state }) => state === "ready");
  return ready.length > 0
    ? ready
    : present.filter(({ state }) => state === "outdated");
}

/**
 * Orders entries by weight, heaviest first, and then by a hash of the id, so that a restart does not move
 * an entry.
 */
export function rankEntries(records: readonly EntryRecord[]): EntryRecord[] {
  return records
    .map((record) => ({ record, tieBreak: hash32(`serving ${record.id}`) }))
    .sort((left, right) =>
      right.record.weight - left.record.weight || left.tieBreak - right.tieBreak
    )
    .map(({ record }) => record);
}

/** Incarnations of these entries. */
export function minimumServingIncarnations(
  region: RegionId,
  fleet: FleetController,
): readonly Incarnation[] {
  return minimumServingOf(region, fleet).map(({ incarnation }) => incarnation);
}
