/**
 * Which entries of a zone carry its callers, and which stand by.
 *
 * Each entry that carries sends to every engine of its region and hears of the others' work late. Where
 * 65 entries of a region carry two requests a second each, none knows its engines: short answers pause
 * beside prompts that several entries gave one engine at once, and a connection or a prefix is seldom
 * used again. A few entries carry the same load with knowledge as exact as that of a small fleet, and the
 * others cost next to nothing until they are needed.
 *
 * Nobody appoints them. Every entry orders the ready ones of a zone in the same way, by strength and then
 * by a hash of their name, and takes as many from the top as the zone's requests need. An entry that
 * falls silent drops out of all views and the next one moves up.
 *
 * @module
 */
import type { FleetController, FleetRecord } from "../fleet/index.ts";
import {
  hash32,
  type Incarnation,
  type Instant,
  type RegionId,
  type ZoneId,
} from "../ids/index.ts";
import type { GatewaySelf } from "./messages.ts";
import type { RegionController } from "./region_controller.ts";

/**
 * Entries of a zone that carry at any load: callers go on with the others when one ends, and what is lost
 * with it is a small part. Modelled before sixty entries of a region, 0.818 of the worth was earned with
 * all named and 0.860 with six a zone; four a zone earned as much as six, 0.856 and 0.845.
 */
export const LEAST_SERVING = 4;
/**
 * Requests a second that an entry carries for each processor core it has: half a core, at the 8 ms that a
 * streamed request of forty events took on one, so that a burst or the loss of a zone finds room until
 * others are named. Other values were not tried.
 */
const REQUESTS_PER_CORE = 60;
/** A zone's callers may be more than its part of the region's. */
const ZONE_PART = 1.5;
/** The choice is made again this often: whom callers are named may lag by as much. */
const CHOICE_LIFETIME_MS = 100;

/** What the choice is made from. */
export interface ServingSources {
  readonly self: Pick<GatewaySelf, "region">;
  readonly fleet: FleetController;
  readonly regions: RegionController;
}

interface Choice {
  readonly at: Instant;
  readonly records: readonly FleetRecord[];
  readonly incarnations: ReadonlySet<Incarnation>;
}

/** The entries that carry, by region. */
export class ServingSet {
  readonly #sources: ServingSources;
  readonly #choices = new Map<RegionId, Choice>();

  constructor(sources: ServingSources) {
    this.#sources = sources;
  }

  /** Those of a region, this one included where it is one of them. */
  of(region: RegionId, now: Instant): readonly FleetRecord[] {
    return this.#choice(region, now).records;
  }

  /** Whether an entry of a region is one of them. */
  has({ region, incarnation }: FleetRecord, now: Instant): boolean {
    return this.#choice(region, now).incarnations.has(incarnation);
  }

  #choice(region: RegionId, now: Instant): Choice {
    const known = this.#choices.get(region);
    if (known !== undefined && now - known.at < CHOICE_LIFETIME_MS) {
      return known;
    }
    const { fleet, regions } = this.#sources;
    const ready = takersOf(region, fleet);
    const records = servingByZone(
      ready,
      regions.requestRate(region, fleet, now),
    );
    const incarnations = new Set(
      records.map(({ incarnation }) => incarnation),
    );
    const choice = { at: now, records, incarnations };
    this.#choices.set(region, choice);
    return choice;
  }
}

/** The entries that carry in each zone, of a region's ready ones that get `requests` a second together. */
export function servingByZone(
  ready: readonly FleetRecord[],
  requests: number,
): FleetRecord[] {
  const zones = new Map<ZoneId, FleetRecord[]>();
  for (const record of ready) {
    const list = zones.get(record.zone) ?? [];
    list.push(record);
    zones.set(record.zone, list);
  }
  return [...zones.values()].flatMap((records) =>
    servingOf(records, ZONE_PART * requests / zones.size)
  );
}

/** Those of one zone that get `requests` a second, in order of rank. */
export function servingOf(
  ready: readonly FleetRecord[],
  requests: number,
): FleetRecord[] {
  const wanted = requests / REQUESTS_PER_CORE;
  let strength = 0;
  return ranked(ready).filter(({ weight }, index) => {
    const needed = index < LEAST_SERVING || strength < wanted;
    strength += weight;
    return needed;
  });
}

/** Entries of the own region that carry at any load, by all that may be alive. */
export function carriersOf(
  region: RegionId,
  fleet: FleetController,
): FleetRecord[] {
  const possible = [
    fleet.record,
    ...fleet.possible().map(({ record }) => record),
  ].filter((record) => record.region === region);
  return servingByZone(possible, 0);
}

/** Entries of a region that take requests: those that hold what is current, or else those that do not. */
export function takersOf(
  region: RegionId,
  fleet: FleetController,
): FleetRecord[] {
  const present = [fleet.record, ...fleet.live().map(({ record }) => record)]
    .filter((record) => record.region === region);
  const ready = present.filter(({ state }) => state === "ready");
  return ready.length > 0
    ? ready
    : present.filter(({ state }) => state === "outdated");
}

/** The strong first; a name keeps its place over restarts. */
export function ranked(records: readonly FleetRecord[]): FleetRecord[] {
  return records
    .map((record) => ({ record, place: hash32(`serving ${record.id}`) }))
    .sort((left, right) =>
      right.record.weight - left.record.weight || left.place - right.place
    )
    .map(({ record }) => record);
}
