/**
 * Parses the settings of a gateway entry, whose callers address routes, from INI text.
 *
 * @module
 */
import {
  type EntryId,
  type FeatureSetting,
  type FeatureSettings,
  type GatewayBounds,
  type GatewayIdentity,
  isSocketAddress,
  type LineFault,
  type Milliseconds,
  type RegionId,
  type ZoneId,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  type Address,
  ADDRESS_SCHEMA,
  decimalWithDefault,
  LIST_SCHEMA,
  parseSections,
  REACHABLE_ADDRESS_SCHEMA,
} from "./ini_sections.ts";

/** Addresses on which an entry listens. */
export interface GatewayAddresses {
  readonly callers: Address;
  readonly readiness: Address;
  readonly directory: Address;
  readonly control: Address;
  /** Address for datagrams and requests of peers; its port is the same on all entries. */
  readonly peers: Address;
}

/** Settings that an entry needs to start. */
export interface GatewaySettings {
  readonly self: Omit<GatewayIdentity, "incarnation">;
  readonly addresses: GatewayAddresses;
  /** Host and port of the platform's store, as `host:port`. */
  readonly storeAddress: string;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
}

/** Either the settings or all faults of the text. */
export type GatewaySettingsResult =
  | { readonly ok: true; readonly settings: GatewaySettings }
  | { readonly ok: false; readonly faults: readonly LineFault[] };

const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;
const MAX_WEIGHT = 4_096;
const MAX_SECONDS = 3_600;
const MAX_COUNT = 1_000_000;
const FEATURE_SCHEMA = z.enum(["auto", "on", "off", ""]).default("auto")
  .transform((setting): FeatureSetting => setting === "" ? "auto" : setting);
const PLACE_NAME_SCHEMA = z.string().min(1, "a name").max(
  63,
  "63 characters at most",
);

const SEEDS_SCHEMA = LIST_SCHEMA.refine(
  (seeds) => seeds.every(isSocketAddress),
  "addresses, each as host:port, separated by commas",
);

const schema = z.strictObject({
  entry: z.strictObject({
    id: PLACE_NAME_SCHEMA,
    zone: PLACE_NAME_SCHEMA,
    region: PLACE_NAME_SCHEMA,
    /** Share of a core, and the relative speed of the cores. */
    processor_share: decimalWithDefault(1, MAX_WEIGHT),
    cores: decimalWithDefault(1, MAX_WEIGHT),
    /** Memory that the process may use. */
    memory_mb: decimalWithDefault(512, MAX_COUNT),
    /** Whether the whole system starts for the first time. */
    first_start: z.enum(["true", "false", ""]).or(z.boolean()).default(""),
    log_level: z.enum(["debug", "info", "warn", "error", "silent"]).default(
      "info",
    ),
  }),
  addresses: z.strictObject({
    callers: REACHABLE_ADDRESS_SCHEMA,
    readiness: ADDRESS_SCHEMA,
    directory: ADDRESS_SCHEMA,
    control: ADDRESS_SCHEMA,
    peers: REACHABLE_ADDRESS_SCHEMA,
  }),
  peers: z.strictObject({ seeds: SEEDS_SCHEMA.default([]) }).default({
    seeds: [],
  }),
  zones: z.record(PLACE_NAME_SCHEMA, PLACE_NAME_SCHEMA),
  store: z.strictObject({ address: REACHABLE_ADDRESS_SCHEMA }),
  bounds: z.strictObject({
    repeat_ratio: decimalWithDefault(0.1, 1),
    repeat_window_s: decimalWithDefault(10, MAX_SECONDS),
    repeat_slack: decimalWithDefault(10, MAX_COUNT),
    cold_overshoot: decimalWithDefault(1, MAX_COUNT),
    cold_slack: decimalWithDefault(1, MAX_COUNT),
    list_lifetime_s: decimalWithDefault(5, MAX_SECONDS),
    stop_s: decimalWithDefault(8, MAX_SECONDS),
    /** Time after which a revoked key is rejected by every entry; enforced only with `strict_keys`. */
    key_lifetime_ms: decimalWithDefault(0, MAX_SECONDS * MS_PER_SECOND),
    strict_keys: z.enum(["true", "false", ""]).or(z.boolean()).default(""),
  }),
  /** Optional decisions; `auto` uses each where the deployment calls for it. */
  features: z.strictObject({
    endpoint_pace: FEATURE_SCHEMA,
    fair_shares: FEATURE_SCHEMA,
    region_admission: FEATURE_SCHEMA,
    early_relay: FEATURE_SCHEMA,
  }).prefault({}),
});

type Data = z.infer<typeof schema>;

/** Parses settings. Never throws. */
export function parseGatewaySettings(text: string): GatewaySettingsResult {
  const result = parseSections(text, schema);
  return result.ok ? { ok: true, settings: resolve(result.data) } : result;
}

function resolve(data: Data): GatewaySettings {
  const { entry, addresses, peers, zones, store, bounds, features } = data;
  return {
    addresses,
    storeAddress: formatAddress(store.address),
    logLevel: entry.log_level,
    memoryBytes: entry.memory_mb * BYTES_PER_MEGABYTE,
    self: {
      id: entry.id as EntryId,
      zone: entry.zone as ZoneId,
      region: entry.region as RegionId,
      callerAddress: formatAddress(addresses.callers),
      peerAddress: formatAddress(addresses.peers),
      weight: entry.processor_share * entry.cores,
      // A seed is listed with any address of its entry; the peer port is the same on all entries.
      seeds: peers.seeds.map((seed) =>
        `${seed.slice(0, seed.lastIndexOf(":"))}:${addresses.peers.port}`
      ),
      regionByZone: new Map(
        Object.entries(zones) as [ZoneId, RegionId][],
      ),
      bounds: resolveBounds(bounds),
      features: resolveFeatures(features),
      isFirstStart: String(entry.first_start) === "true",
    },
  };
}

function resolveFeatures(features: Data["features"]): FeatureSettings {
  return {
    endpointPace: features.endpoint_pace,
    fairShares: features.fair_shares,
    regionAdmission: features.region_admission,
    earlyRelay: features.early_relay,
  };
}

function resolveBounds(bounds: Data["bounds"]): GatewayBounds {
  return {
    retryRatio: bounds.repeat_ratio,
    retryWindow: seconds(bounds.repeat_window_s),
    retrySlack: bounds.repeat_slack,
    coldOvershoot: bounds.cold_overshoot,
    coldSlack: bounds.cold_slack,
    listLifetime: seconds(bounds.list_lifetime_s),
    stopTime: seconds(bounds.stop_s),
    keyLifetime: String(bounds.strict_keys) === "true"
      ? bounds.key_lifetime_ms as Milliseconds
      : undefined,
  };
}

function seconds(value: number): Milliseconds {
  return value * MS_PER_SECOND as Milliseconds;
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
