/**
 * Settings of an entry for callers that name routes: INI, checked whole, resolved once.
 *
 * @module
 */
import type {
  EntryId,
  GatewayBounds,
  GatewayIdentity,
  LineFault,
  Milliseconds,
  RegionId,
  ZoneId,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  ADDRESS,
  type Address,
  decimalOr,
  LIST,
  readSections,
} from "./ini_sections.ts";

/** Where an entry listens. */
export interface GatewayAddresses {
  readonly callers: Address;
  readonly readiness: Address;
  readonly directory: Address;
  readonly control: Address;
  /** Datagrams and requests of other entries; the same port on all of them. */
  readonly peers: Address;
}

/** Everything that an entry needs to know at its start. */
export interface GatewaySettings {
  readonly self: Omit<GatewayIdentity, "incarnation">;
  readonly addresses: GatewayAddresses;
  /** Host and port of the platform's store. */
  readonly storeAddress: string;
  readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
}

/** Either settings or every fault of the text at once. */
export type GatewaySettingsResult =
  | { readonly ok: true; readonly settings: GatewaySettings }
  | { readonly ok: false; readonly faults: readonly LineFault[] };

const MS_PER_SECOND = 1_000;
const MOST_WEIGHT = 4_096;
const MOST_SECONDS = 3_600;
const MOST_COUNT = 1_000_000;
const PLACE = z.string().min(1, "a name").max(63, "63 characters at most");

const schema = z.strictObject({
  entry: z.strictObject({
    id: PLACE,
    zone: PLACE,
    region: PLACE,
    /** Part of a core, and how fast cores are. */
    processor_share: decimalOr(1, MOST_WEIGHT),
    cores: decimalOr(1, MOST_WEIGHT),
    log_level: z.enum(["debug", "info", "warn", "error", "silent"]).default(
      "info",
    ),
  }),
  addresses: z.strictObject({
    callers: ADDRESS,
    readiness: ADDRESS,
    directory: ADDRESS,
    control: ADDRESS,
    peers: ADDRESS,
  }),
  peers: z.strictObject({ seeds: LIST.default([]) }).default({ seeds: [] }),
  zones: z.record(PLACE, PLACE),
  store: z.strictObject({ address: ADDRESS }),
  bounds: z.strictObject({
    repeat_ratio: decimalOr(0.1, 1),
    repeat_window_s: decimalOr(10, MOST_SECONDS),
    repeat_slack: decimalOr(10, MOST_COUNT),
    cold_overshoot: decimalOr(1, MOST_COUNT),
    cold_slack: decimalOr(1, MOST_COUNT),
    list_lifetime_s: decimalOr(5, MOST_SECONDS),
    stop_s: decimalOr(8, MOST_SECONDS),
    /** After it a key that was taken away opens nothing; enforced at any entry only where strict. */
    key_lifetime_ms: decimalOr(0, MOST_SECONDS * MS_PER_SECOND),
    strict_keys: z.enum(["true", "false", ""]).or(z.boolean()).default(""),
  }),
});

type Data = z.infer<typeof schema>;

/** Reads settings. Never throws. */
export function parseGatewaySettings(text: string): GatewaySettingsResult {
  const result = readSections(text, schema);
  return result.ok ? { ok: true, settings: resolve(result.data) } : result;
}

function resolve(data: Data): GatewaySettings {
  const { entry, addresses, peers, zones, store, bounds } = data;
  return {
    addresses,
    storeAddress: textOf(store.address),
    logLevel: entry.log_level,
    self: {
      id: entry.id as EntryId,
      zone: entry.zone as ZoneId,
      region: entry.region as RegionId,
      callerAddress: textOf(addresses.callers),
      peerAddress: textOf(addresses.peers),
      weight: entry.processor_share * entry.cores,
      // A seed is named by some address of its entry; peers listen on the same port everywhere.
      seeds: peers.seeds.map((seed) =>
        `${seed.slice(0, seed.lastIndexOf(":"))}:${addresses.peers.port}`
      ),
      regionByZone: new Map(
        Object.entries(zones) as [ZoneId, RegionId][],
      ),
      bounds: resolveBounds(bounds),
    },
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

function textOf({ host, port }: Address): string {
  return `${host}:${port}`;
}
