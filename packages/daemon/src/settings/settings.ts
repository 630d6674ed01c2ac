/**
 * Parses the settings of an entry from INI text.
 *
 * @module
 */
import type {
  BalancerName,
  EntryId,
  LineFault,
  Milliseconds,
  RegionId,
  ZoneId,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  type Address,
  ADDRESS_SCHEMA,
  integer,
  LIST_SCHEMA,
  NAME_SCHEMA,
  parseSections,
} from "./ini_sections.ts";

/** Settings that an entry needs to start. */
export interface Settings {
  readonly id: EntryId;
  readonly deployment: string;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly listen: Address;
  readonly control: Address;
  /** URL that callers and peers use, if it differs from the address that the entry listens on. */
  readonly advertisedUrl: string | undefined;
  readonly advertisedControlUrl: string | undefined;
  /** Secret that all entries of the deployment and its operators share. */
  readonly secret: string;
  readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
  readonly configurationUrl: string;
  readonly vmListUrl: string;
  readonly seeds: readonly string[];
  readonly heartbeatPeriod: Milliseconds;
  readonly epochLength: Milliseconds;
  readonly balancer: BalancerName;
}

/** Either the settings or all faults of the text. */
export type SettingsResult =
  | { readonly ok: true; readonly settings: Settings }
  | { readonly ok: false; readonly faults: readonly LineFault[] };

const MIN_SECRET_LENGTH = 16;
const URL_SCHEMA = z.string().refine(isHttpUrl, "an http URL").transform((
  url,
) => url.replace(/\/$/, ""));
const URLS_SCHEMA = LIST_SCHEMA.pipe(z.array(URL_SCHEMA));

const sections = {
  entry: z.strictObject({
    id: NAME_SCHEMA,
    deployment: NAME_SCHEMA,
    region: NAME_SCHEMA,
    zone: NAME_SCHEMA,
    listen: ADDRESS_SCHEMA,
    control: ADDRESS_SCHEMA,
    advertised_url: URL_SCHEMA.optional(),
    advertised_control_url: URL_SCHEMA.optional(),
    secret: z.string().min(
      MIN_SECRET_LENGTH,
      `at least ${MIN_SECRET_LENGTH} characters`,
    ),
    log_level: z.enum(["debug", "info", "warn", "error", "silent"]).default(
      "info",
    ),
  }),
  platform: z.strictObject({
    configuration_url: URL_SCHEMA,
    vm_list_url: URL_SCHEMA,
  }),
  peers: z.strictObject({ seeds: URLS_SCHEMA.default([]) }).default({
    seeds: [],
  }),
  tuning: z.strictObject({
    heartbeat_period_ms: integer(50, 60_000).default(1_000),
    epoch_length_ms: integer(1_000, 86_400_000).default(300_000),
    balancer: z.enum([
      "estimate",
      "round_robin",
      "least_in_flight",
      "random_of_two",
    ]).default("estimate"),
  }).default({
    heartbeat_period_ms: 1_000,
    epoch_length_ms: 300_000,
    balancer: "estimate",
  }),
};
const settingsSchema = z.strictObject(sections);

/** Parses settings. Never throws. */
export function parseSettings(text: string): SettingsResult {
  const result = parseSections(text, settingsSchema);
  return result.ok
    ? { ok: true, settings: resolveSettings(result.data) }
    : result;
}

function resolveSettings(data: z.infer<typeof settingsSchema>): Settings {
  const { entry, platform, peers, tuning } = data;
  return {
    id: entry.id as EntryId,
    deployment: entry.deployment,
    region: entry.region as RegionId,
    zone: entry.zone as ZoneId,
    listen: entry.listen,
    control: entry.control,
    advertisedUrl: entry.advertised_url,
    advertisedControlUrl: entry.advertised_control_url,
    secret: entry.secret,
    logLevel: entry.log_level,
    configurationUrl: platform.configuration_url,
    vmListUrl: platform.vm_list_url,
    seeds: peers.seeds,
    heartbeatPeriod: tuning.heartbeat_period_ms as Milliseconds,
    epochLength: tuning.epoch_length_ms as Milliseconds,
    balancer: tuning.balancer,
  };
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol);
}
