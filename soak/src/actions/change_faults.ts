/**
 * Changes by operators and departures of endpoints, which have to be in force in time.
 *
 * @module
 */
import type { Draw } from "../draw.ts";
import type { Fault } from "./action_faults.ts";
import type { ServiceName } from "./ledger_endpoint.ts";

/** What a document says beside the routes that are always there. */
export interface DocumentFields {
  /** Timeout of all routes. */
  readonly timeoutMs: number;
  /** Service of the route that moves. */
  readonly movesTo: ServiceName;
  /** Whether it has the route that comes and goes. */
  readonly hasLate: boolean;
  /** Customers with keys, none by default, when no key is needed. */
  readonly customers?: readonly object[];
}

/** The document at the start of a wave. */
export const FIRST_DOCUMENT: DocumentFields = {
  timeoutMs: 4_000,
  movesTo: "core",
  hasLate: false,
};

const LAST_AT_MS = 11_000;
/** Entries end before this time, since none starts by faulty settings. */
const FIRST_SETTINGS_AT_MS = 6_000;

/** Draws documents, drains and evacuations, and some faults beside them. The store stays sound. */
export function drawChanges(
  draw: Draw,
  { entries, endpoints }: {
    entries: readonly string[];
    endpoints: readonly string[];
  },
): Fault[] {
  const entry = (): number => draw.integer(0, entries.length - 1);
  const atMs = (): number => draw.integer(500, LAST_AT_MS);
  const times = <Item>(count: number, make: () => Item): Item[] =>
    Array.from({ length: count }, make);
  const leaving = new Set(
    times(3, () => draw.integer(0, endpoints.length - 1)),
  );
  return [
    ...[...leaving].map((endpoint): Fault => ({
      kind: "drain",
      endpoint,
      atMs: atMs(),
      forMs: draw.integer(6_000, 9_000),
    })),
    {
      kind: "evacuation",
      zone: `${draw.pick(entries)}-1`,
      atMs: atMs(),
      forMs: draw.integer(6_500, 9_000),
    },
    ...times(draw.integer(2, 5), (): Fault => ({
      kind: "document",
      ...drawDocument(draw),
      atMs: atMs(),
      forMs: 0,
    })),
    ...times(draw.integer(0, 2), (): Fault => ({
      kind: "hup",
      entry: entry(),
      atMs: atMs(),
      forMs: 0,
    })),
    ...times(draw.integer(1, 5), (): Fault => ({
      kind: "settings",
      entry: entry(),
      lifetimeS: draw.pick([0.2, 0.4, 0.6, 0.8]),
      faulty: draw.chance(0.3),
      atMs: draw.integer(FIRST_SETTINGS_AT_MS, LAST_AT_MS),
      forMs: draw.integer(500, 3_000),
    })),
    ...times(draw.integer(0, 2), (): Fault => ({
      kind: draw.pick(["pause", "kill", "stop"]),
      entry: entry(),
      atMs: draw.integer(0, 4_000),
      forMs: draw.integer(100, 2_500),
    })),
  ];
}

/** Draws a document. */
export function drawDocument(draw: Draw): DocumentFields {
  return {
    timeoutMs: draw.pick([2_000, 3_000, 5_000]),
    movesTo: draw.pick(["core", "model"]),
    hasLate: draw.chance(0.5),
  };
}
