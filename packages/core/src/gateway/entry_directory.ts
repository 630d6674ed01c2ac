/**
 * Chooses the entries that a caller is told to use.
 *
 * @module
 */
import type { EntryRecord, FleetController } from "../fleet/index.ts";
import {
  hash32,
  type Instant,
  type Milliseconds,
  milliseconds,
  type RegionId,
  weightedRendezvous,
  type ZoneId,
} from "../ids/index.ts";
import { mayServe, type Route } from "../routes/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayBounds, GatewayIdentity } from "./messages.ts";
import type { RegionController } from "./region_controller.ts";
import type { ServingSet } from "./serving_set.ts";

/**
 * Maximum number of entries in an answer. A few serve a caller as well as all, and each may get a
 * connection.
 */
const MAX_ENTRIES = 4;
/**
 * Maximum time that callers keep an answer. Some keep it for three times as long, and steering only takes
 * effect with new answers, so it is short.
 */
const MAX_LIST_LIFETIME_MS = 1_000;
const UINT32_RANGE = 2 ** 32;
/** Minimum weight of an entry, whatever weight it states. */
const MIN_WEIGHT = 0.01;
/** Decaying count of a host's requests from which on its current traffic is considered known. */
const MIN_TRAFFIC = 5;
/**
 * Maximum fraction of a host's requests on routes with home regions that may be sent to an entry outside
 * of these regions.
 */
const MAX_MISDIRECTED_FRACTION = 0.01;
/** Maximum fraction of a host's requests that the caller's own region may have to relay. */
const MAX_RELAYED_FRACTION = 0.9;

/** A caller's request for entries. */
export interface DirectoryRequest {
  readonly host: string;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Any value that stays the same for one caller. */
  readonly caller: string;
}

/** The addresses that the caller is told to use. */
export interface DirectoryAnswer {
  readonly addresses: readonly string[];
  readonly lifetime: Milliseconds;
}

/** What the directory depends on. */
export interface DirectorySources {
  readonly self: GatewayIdentity;
  readonly fleet: FleetController;
  readonly catalogue: CatalogueView;
  readonly regions: RegionController;
  readonly serving: ServingSet;
  /** Those of the settings in force, which may be others than at the start. */
  readonly bounds: Pick<GatewayBounds, "listLifetime">;
}

/**
 * Chooses entries for a caller, `undefined` if no entry is known to serve.
 *
 * Only entries that answer their peers are chosen. Callers are spread over regions by hash, so that a
 * caller stays in its region as long as the shares stay the same. A caller is sent only to its own region
 * and to the home regions of the host's routes.
 */
export function chooseEntries(
  { self, fleet, catalogue, regions, serving, bounds }: DirectorySources,
  question: DirectoryRequest,
  now: Instant,
): DirectoryAnswer | undefined {
  const allowed = allowedRegions({ catalogue, regions }, question, now);
  const ready = fleet.derive(readyRegions, self.region);
  const present = ready.filter(allowed);
  const steered = question.region === self.region &&
    hasEngines(catalogue, question);
  const shares = steered ? regions.shares : [];
  const region = pickRegion(question, { present, shares });
  const chosen = serving.of(region ?? question.region, now);
  const inZone = chosen.filter(({ zone }) => zone === question.zone);
  const entries = pickEntries(
    inZone.length > 0 ? inZone : chosen,
    question.caller,
  );
  return entries.length === 0 ? undefined : {
    addresses: entries.map(({ callerAddress }) => callerAddress),
    lifetime: milliseconds(
      Math.min(MAX_LIST_LIFETIME_MS, bounds.listLifetime),
    ),
  };
}

/** Regions with a ready entry, which may be this one. */
function readyRegions(
  _region: RegionId,
  fleet: FleetController,
): readonly RegionId[] {
  const ready = [
    fleet.record,
    ...fleet.liveMembers().map(({ record }) => record),
  ].filter(({ state }) => state === "ready");
  return [...new Set(ready.map(({ region }) => region))];
}

/**
 * Regions whose entries a caller of a host may use.
 *
 * A host may have routes with home regions and routes without. A caller that uses an entry outside of the
 * home regions sends its requests on routes with home regions there too, and only few of these may be
 * misdirected. So a region is judged by the part of the host's current requests that have to be served
 * elsewhere; before there is traffic, each route counts the same. The caller's own region is always
 * allowed, except for hosts whose requests nearly all belong elsewhere, since each of them would be
 * relayed.
 */
function allowedRegions(
  { catalogue, regions }: Pick<DirectorySources, "catalogue" | "regions">,
  { host, region: own }: DirectoryRequest,
  now: Instant,
): (region: RegionId) => boolean {
  const routes = catalogue.table?.routesOfHost(host) ?? [];
  const weights = routes.map(({ name }) => regions.traffic.of(name, now));
  const hasTraffic = weights.some((weight) => weight >= MIN_TRAFFIC);
  const weightOf = (index: number): number => hasTraffic ? weights[index]! : 1;
  const sumOf = (includes: (route: Route) => boolean): number =>
    routes.reduce(
      (sum, route, index) => includes(route) ? sum + weightOf(index) : sum,
      0,
    );
  const total = sumOf(() => true);
  const withHomes = sumOf(({ homes }) => homes.length > 0);
  return (region) => {
    const misdirected = sumOf((route) => !mayServe(route, region));
    return region === own
      ? misdirected <= total * MAX_RELAYED_FRACTION
      : misdirected <= withHomes * MAX_MISDIRECTED_FRACTION;
  };
}

/**
 * Whether a host's requests go to engines. Requests to plain services take less time than the way to
 * another region and back, and plain services have spare capacity.
 */
function hasEngines(
  { table, document }: CatalogueView,
  { host }: DirectoryRequest,
): boolean {
  return (table?.routesOfHost(host) ?? []).some(({ targets }) =>
    targets.some(({ service }) =>
      document?.services.get(service)?.engine !== undefined
    )
  );
}

/**
 * Picks a region by the caller's hash between 0 and 1: the steering shares take the first part of that
 * range, the caller's own region the rest.
 */
function pickRegion(
  question: DirectoryRequest,
  { present, shares }: {
    present: readonly RegionId[];
    shares: readonly { readonly region: RegionId; readonly share: number }[];
  },
): RegionId | undefined {
  let position = hash32(`region ${question.caller}`) / UINT32_RANGE;
  const sorted = [...shares].sort((left, right) =>
    left.region < right.region ? -1 : 1
  );
  for (const { region, share } of sorted) {
    if (present.includes(region)) {
      if (position < share) {
        return region;
      }
      position -= share;
    }
  }
  if (present.includes(question.region)) {
    return question.region;
  }
  const index = hash32(`home ${question.caller}`) % Math.max(1, present.length);
  return [...present].sort()[index];
}

/** Picks a few entries for a caller, heavier ones more often (weighted rendezvous hashing). */
function pickEntries(
  records: readonly EntryRecord[],
  caller: string,
): EntryRecord[] {
  const ordered = weightedRendezvous(caller, records, {
    nameOf: ({ incarnation }) => incarnation,
    weightOf: ({ weight }) => Math.max(weight, MIN_WEIGHT),
  });
  return ordered.slice(0, MAX_ENTRIES);
}
