/**
 * Generates configuration texts, heartbeats and endpoints for fleets of any size.
 *
 * @module
 */
import {
  type EndpointId,
  type Heartbeat,
  type ListedVm,
  type LoadReport,
  milliseconds,
  type RegionId,
  sha256,
  type SpareCapacity,
  type ZoneId,
} from "@sassafrasstep/core";

/** The numbers of parts in a fleet. */
export interface FleetSize {
  readonly regions: number;
  readonly zones: number;
  readonly entries: number;
  readonly endpoints: number;
  readonly customers: number;
  readonly models: number;
}

/** The fleet size that the software is designed for. */
export const TARGET_FLEET_SIZE: FleetSize = {
  regions: 22,
  zones: 61,
  entries: 530,
  endpoints: 12_000,
  customers: 650,
  models: 25,
};

/** Returns the zone and region of the entry with the given index. */
export function zoneAt(
  size: FleetSize,
  index: number,
): { zone: string; region: string } {
  const zone = index % size.zones;
  return { zone: `z${zone}`, region: `r${zone % size.regions}` };
}

/** Returns a configuration text for a fleet of the given size. */
export function makeConfigurationText(
  { regions, zones, customers, models }: FleetSize,
): string {
  const regionNames = Array.from(
    { length: regions },
    (_, index) => `r${index}`,
  );
  const lines = ["[deployment]", "name = made", "objective = tail", ""];
  for (const [index, region] of regionNames.entries()) {
    const zoneNumbers = Array.from({ length: zones }, (_, zone) => zone).filter(
      (
        zone,
      ) => zone % regions === index,
    );
    lines.push(
      `[region ${region}]`,
      `zones = ${zoneNumbers.map((zone) => `z${zone}`).join(", ")}`,
      "",
    );
  }
  for (let index = 0; index < models; index++) {
    lines.push(
      `[service model-${index}]`,
      "kind = model",
      `model = m${index}@v1`,
      "pool = pool",
    );
    lines.push(`regions = ${regionNames.join(", ")}`, "");
  }
  for (let index = 0; index < customers; index++) {
    lines.push(
      `[customer customer-${index}]`,
      `home = r${index % regions}`,
      `bound = ${index % 100 < 29 ? "yes" : "no"}`,
    );
    lines.push(
      `token_sha256 = ${sha256(`token-${index}`)}`,
      "requests_per_s = 100",
      "",
    );
  }
  return lines.join("\n");
}

/** Returns the VMs of endpoints in region `r0`. */
export function makeVms(count: number, zones: number): ListedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `vm-0a1b2c3d4e5f${index}` as EndpointId,
    role: "endpoint",
    zone: `z${index % zones}` as ZoneId,
    region: "r0" as RegionId,
    url: `http://10.0.${index >> 8}.${index & 255}:8000`,
    pool: "pool",
    state: "live",
  }));
}

/** Returns the load report of an endpoint that serves the given model. */
export function makeReport(model: string): LoadReport {
  return {
    age: milliseconds(0),
    running: 3,
    queued: 0,
    slots: 8,
    prefillRate: 4_000,
    holdTime: milliseconds(2_000),
    draining: false,
    model,
    fence: 1,
    evicted: [],
    cacheGap: false,
  };
}

/** Returns a heartbeat as a zone's delegate sends it to another zone, with the given number of freshness entries. */
export function makeHeartbeat(size: FleetSize, freshness: number): Heartbeat {
  const from = makeFreshness(0);
  const spare: SpareCapacity[] = Array.from(
    { length: size.models },
    (_, model) => ({
      service: `model-${model}` as SpareCapacity["service"],
      slots: 40 + model,
      firstToken: milliseconds(180),
    }),
  );
  const { zone, region } = zoneAt(size, 0);
  return {
    deployment: "made",
    from,
    revision: 25_000 as Heartbeat["revision"],
    rejected: 0 as Heartbeat["rejected"],
    demand: [],
    freshness: Array.from(
      { length: freshness },
      (_, index) => makeFreshness(index),
    ),
    records: [],
    news: [{
      zone,
      region,
      issuer: from.incarnation,
      beat: 12_345,
      spare,
      demand: [],
    }] as unknown as Heartbeat["news"],
    leaving: [],
  };
}

function makeFreshness(index: number): Heartbeat["from"] {
  const incarnation = `0123456789ab${
    index.toString(16).padStart(4, "0")
  }` as Heartbeat["from"]["incarnation"];
  return { incarnation, beat: 12_345 + index, version: 12 };
}
