/**
 * Faults of links and processes, drawn so that they overlap.
 *
 * @module
 */
import type { LinkDirection } from "@sassafrasstep/playground/links";
import type { StoreFault } from "@sassafrasstep/playground/bytes";
import type { Draw } from "../draw.ts";
import type { SettingsChange } from "./settings_changes.ts";
import { type DocumentFields, FIRST_DOCUMENT } from "./change_faults.ts";

/** Links between two kinds of processes. Entries and endpoints are indexes. */
export interface LinkSet {
  /** The entries whose links are meant. */
  readonly entries: readonly number[];
  /** The other ends. */
  readonly peers: readonly number[];
  readonly endpoints: readonly number[];
  readonly store: boolean;
  readonly callers: boolean;
}

/** A fault that begins at `atMs` and, where it lasts, ends `forMs` later. */
export type Fault =
  & { readonly atMs: number; readonly forMs: number }
  & (
    | { readonly kind: "pause"; readonly entry: number }
    | { readonly kind: "kill" | "stop"; readonly entry: number }
    /** The entry is killed, and started again `forMs` later. */
    | { readonly kind: "absence"; readonly entry: number }
    /** All entries are killed, and started again within `forMs`. */
    | { readonly kind: "allKilled" }
    | { readonly kind: "hup"; readonly entry: number }
    | {
      readonly kind: "cut";
      readonly links: LinkSet;
      readonly directions: readonly LinkDirection[];
    }
    | { readonly kind: "reset"; readonly links: LinkSet }
    | {
      readonly kind: "delay";
      readonly links: LinkSet;
      readonly delayMs: number;
    }
    /** The process ends; `forMs` later another one starts at its address. */
    | {
      readonly kind: "endpointEnds";
      readonly endpoint: number;
      /** Whether the store learns of it at once. */
      readonly withdrawn: boolean;
      /** Whether the process that starts at its address serves the other service. */
      readonly otherService: boolean;
    }
    | { readonly kind: "endpointHangs"; readonly endpoint: number }
    /** It announces that it leaves, and is back `forMs` later. */
    | { readonly kind: "endpointLeaves"; readonly endpoint: number }
    | { readonly kind: "store"; readonly fault: StoreFault }
    | { readonly kind: "compact" }
    | ({ readonly kind: "document" } & DocumentFields)
    | { readonly kind: "drain"; readonly endpoint: number }
    | ({ readonly kind: "settings" } & SettingsChange)
    | { readonly kind: "evacuation"; readonly zone: string }
  );

const MIN_FAULTS = 8;
const MAX_FAULTS = 18;
const FIRST_AT_MS = 800;
const LAST_AT_MS = 8_500;

/** Draws the faults of a wave. */
export function drawFaults(
  draw: Draw,
  { entries, endpoints }: {
    /** Region of each entry. */
    entries: readonly string[];
    /** Region of each endpoint. */
    endpoints: readonly string[];
  },
): Fault[] {
  const count = draw.integer(MIN_FAULTS, MAX_FAULTS);
  return Array.from({ length: count }, () => ({
    ...drawKind(draw, { entries, endpoints }),
    atMs: draw.integer(FIRST_AT_MS, LAST_AT_MS),
    forMs: draw.pick([100, 300, 700, 1_500, 3_000]) + draw.integer(0, 400),
  } as Fault));
}

function drawKind(
  draw: Draw,
  { entries, endpoints }: {
    entries: readonly string[];
    endpoints: readonly string[];
  },
): object {
  const entry = draw.integer(0, entries.length - 1);
  const endpoint = draw.integer(0, endpoints.length - 1);
  const links = drawLinks(draw, { entry, entries, endpoints });
  const roll = draw.fraction();
  const table: readonly [number, object][] = [
    [0.14, { kind: "pause", entry }],
    [0.22, { kind: draw.pick(["kill", "kill", "stop"]), entry }],
    [0.24, { kind: "hup", entry }],
    [0.44, {
      kind: "cut",
      links,
      directions: draw.pick<LinkDirection[]>([["out", "in"], ["out"], ["in"]]),
    }],
    [0.58, { kind: "reset", links }],
    [0.66, { kind: "delay", links, delayMs: draw.integer(100, 900) }],
    [0.74, {
      kind: "endpointEnds",
      endpoint,
      withdrawn: draw.chance(0.5),
      otherService: draw.chance(0.3),
    }],
    [0.8, { kind: "endpointHangs", endpoint }],
    [0.86, { kind: "endpointLeaves", endpoint }],
    [0.94, {
      kind: "store",
      fault: draw.pick<StoreFault>(["silent", "busy", "reset", "slow"]),
    }],
    [0.96, { kind: "compact" }],
    [1, {
      kind: "document",
      ...FIRST_DOCUMENT,
      timeoutMs: draw.pick([2_000, 3_000, 5_000]),
    }],
  ];
  return table.find(([below]) => roll < below)![1];
}

/** Draws which links a fault is about: one, all of an entry, or those between two regions. */
function drawLinks(
  draw: Draw,
  { entry, entries, endpoints }: {
    entry: number;
    entries: readonly string[];
    endpoints: readonly string[];
  },
): LinkSet {
  const none: LinkSet = {
    entries: [entry],
    peers: [],
    endpoints: [],
    store: false,
    callers: false,
  };
  const others = entries.flatMap((_, index) => index === entry ? [] : [index]);
  switch (
    draw.pick(["peer", "peers", "endpoint", "node", "region", "callers"])
  ) {
    case "peer":
      return { ...none, peers: [draw.pick(others)] };
    case "peers":
      return { ...none, peers: others };
    case "endpoint":
      return { ...none, endpoints: [draw.integer(0, endpoints.length - 1)] };
    case "callers":
      return { ...none, callers: true };
    case "node":
      return {
        ...none,
        peers: others,
        endpoints: endpoints.map((_, index) => index),
        store: true,
      };
    default: {
      const region = entries[entry]!;
      const inside = (each: string): boolean => each === region;
      return {
        ...none,
        entries: entries.flatMap((each, index) => inside(each) ? [index] : []),
        peers: entries.flatMap((each, index) => inside(each) ? [] : [index]),
        store: region !== entries[0],
      };
    }
  }
}
