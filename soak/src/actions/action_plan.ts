/**
 * Plans a wave of actions, plain requests and streams, and the faults of links and processes during them.
 *
 * @module
 */
import { Draw } from "../draw.ts";
import { drawFaults, type Fault } from "./action_faults.ts";
import { drawChanges } from "./change_faults.ts";
import { drawDeaths } from "./death_faults.ts";
import { addRemoval, customersOf, drawKey, type KeyName } from "./key_plan.ts";
import { type DocumentFields, FIRST_DOCUMENT } from "./change_faults.ts";
import { drawOddInput, type OddInput } from "./odd_inputs.ts";
import { drawLongFaults } from "./long_faults.ts";
import type { ServiceName } from "./ledger_endpoint.ts";

/** Routes by the name that is their path. */
export const ROUTES = {
  /** Actions: at most one run. */
  once: { kind: "non_idempotent", service: "core", attempts: 1 },
  twice: { kind: "non_idempotent", service: "core", attempts: 3 },
  /** May be repeated. */
  again: { kind: "idempotent", service: "core", attempts: 3 },
  /** Streams that can't be resumed: at most one run. */
  stream: { kind: "stream", service: "model", attempts: 3 },
  resume: { kind: "stream", service: "model", attempts: 3, resumable: true },
  /** With homes, beside or away from the entry that receives the request. */
  homeOnce: {
    kind: "non_idempotent",
    service: "core",
    attempts: 2,
    home_regions: ["b"],
  },
  homeAgain: {
    kind: "idempotent",
    service: "core",
    attempts: 2,
    home_regions: ["a", "b"],
  },
  homeResume: {
    kind: "stream",
    service: "model",
    attempts: 2,
    resumable: true,
    home_regions: ["c"],
  },
  /** Its service changes from document to document. */
  moving: { kind: "idempotent", service: "core", attempts: 3 },
  /** Comes and goes. */
  late: { kind: "idempotent", service: "core", attempts: 3 },
} as const;

export type RouteName = keyof typeof ROUTES;

/** Whether a request of a route may run only once. */
export function mustRunOnce(route: RouteName): boolean {
  return ROUTES[route].kind !== "idempotent" && !isResumable(route);
}

export function isStream(route: RouteName): boolean {
  return ROUTES[route].kind === "stream";
}

export function isResumable(route: RouteName): boolean {
  return "resumable" in ROUTES[route];
}

/** Regions in which a route may be served, `undefined` if it may be served everywhere. */
export function homesOf(route: RouteName): readonly string[] | undefined {
  const fields = ROUTES[route];
  return "home_regions" in fields ? fields.home_regions : undefined;
}

/** One request of a caller. */
export interface ActionPlan {
  readonly id: string;
  readonly route: RouteName;
  readonly entry: number;
  /** Entry that the caller turns to where it may send the request again. */
  readonly nextEntry: number;
  readonly startMs: number;
  readonly timeMs: number;
  /** Whether the caller sends a request that was refused again under its id. */
  readonly keepsId: boolean;
  /** Whether the caller's connection is kept and used again. */
  readonly keepsConnection: boolean;
  readonly bodyBytes: number;
  /** When the caller leaves, `undefined` for one that waits for its answer. */
  readonly leavesAfterMs: number | undefined;
  /** The caller's key, `undefined` where none is needed. */
  readonly key: KeyName | undefined;
}

/** What a wave is about. */
export type ActionWaveKind =
  /** Links, processes, endpoints and the store fail, overlapping. */
  | "links"
  /** The same with endpoints that only refuse, and send some refusals once more. */
  | "refusals"
  /** Entries are gone for long, then all of them are killed. */
  | "deaths"
  /** Documents, drains and evacuations. */
  | "changes"
  /** Links, endpoints and the store fail for long, and memory and descriptors are bounded. */
  | "long"
  /** Customers have keys and a limit, and a key is taken away. */
  | "keys"
  /** Drawn bytes arrive at listeners, endpoints are sound, and no process or link fails. */
  | "bytes";

/** A wave. */
export interface ActionWavePlan {
  readonly kind: ActionWaveKind;
  readonly seed: number;
  /** Region of each entry. */
  readonly entries: readonly string[];
  readonly endpoints: readonly {
    readonly service: ServiceName;
    readonly region: string;
  }[];
  readonly actions: readonly ActionPlan[];
  readonly faults: readonly Fault[];
  /** The document at the start. */
  readonly document: DocumentFields;
  readonly oddInputs: readonly OddInput[];
}

export const REGIONS = ["a", "b", "c"];
const ENTRIES_PER_REGION = 2;
const ODD_INPUT_COUNT = 900;
/** Requests of a wave, and the time in which they start. */
const LOADS: Readonly<Record<ActionWaveKind, { count: number; ms: number }>> = {
  links: { count: 500, ms: 9_000 },
  refusals: { count: 500, ms: 9_000 },
  deaths: { count: 900, ms: 32_000 },
  changes: { count: 900, ms: 18_000 },
  long: { count: 2_400, ms: 38_000 },
  keys: { count: 700, ms: 14_000 },
  bytes: { count: 300, ms: 9_000 },
};
/** Kinds in the order in which seeds are played. */
export const ACTION_WAVE_KINDS = Object.keys(LOADS) as ActionWaveKind[];
/** Regions of the endpoints of each service. One region has none for plain requests, so that these are relayed. */
const LAYOUTS = {
  mixed: { model: ["a", "a", "a", "b", "b", "c"], core: ["a", "a", "b", "b"] },
  // A request that is sent again reaches the endpoint that refused it.
  refusals: { model: ["a", "b"], core: ["a", "b"] },
} as const;
const ENDPOINT_FAULTS: ReadonlySet<Fault["kind"]> = new Set([
  "endpointEnds",
  "endpointHangs",
  "endpointLeaves",
]);
const ROUTE_DRAWS: readonly RouteName[] = [
  "once",
  "once",
  "twice",
  "twice",
  "again",
  "stream",
  "stream",
  "resume",
  "homeOnce",
  "homeAgain",
  "homeResume",
];

const CHANGING_ROUTE_DRAWS: readonly RouteName[] = [
  ...ROUTE_DRAWS,
  "moving",
  "moving",
  "late",
  "late",
];

/** Plans a wave; the same seed gives the same plan. */
export function planActionWave(
  seed: number,
  kind: ActionWaveKind = "links",
): ActionWavePlan {
  const draw = new Draw(seed, 0);
  const entries = REGIONS.flatMap((region) =>
    Array.from({ length: ENTRIES_PER_REGION }, () => region)
  );
  const { core, model } = LAYOUTS[kind === "refusals" ? "refusals" : "mixed"];
  const endpoints = [
    ...core.map((region) => ({ service: "core" as const, region })),
    ...model.map((region) => ({ service: "model" as const, region })),
  ];
  const { count, ms } = LOADS[kind];
  const actions = Array.from(
    { length: count },
    (_, index) =>
      planAction(`s${seed}c${index}`, {
        draw,
        entries: entries.length,
        startWindowMs: ms,
        hasKeys: kind === "keys",
        routes: kind === "changes" ? CHANGING_ROUTE_DRAWS : ROUTE_DRAWS,
      }),
  );
  const places = {
    entries,
    endpoints: endpoints.map(({ region }) => region),
  };
  const faults = drawFaultsOf(kind, draw, places);
  const document = {
    ...FIRST_DOCUMENT,
    ...kind === "keys" ? { customers: customersOf({ isRemoved: false }) } : {},
  };
  const oddInputs = Array.from(
    { length: kind === "bytes" ? ODD_INPUT_COUNT : 0 },
    (_, index) =>
      drawOddInput(draw, `odd${seed}c${index}`, {
        entries: entries.length,
        windowMs: ms,
      }),
  );
  return {
    kind,
    seed,
    entries,
    endpoints,
    actions,
    faults,
    document,
    oddInputs,
  };
}

function drawFaultsOf(
  kind: ActionWaveKind,
  draw: Draw,
  places: Parameters<typeof drawFaults>[1],
): Fault[] {
  switch (kind) {
    case "links":
      return drawFaults(draw, places);
    case "refusals":
      return drawFaults(draw, places)
        .filter((fault) => !ENDPOINT_FAULTS.has(fault.kind));
    case "deaths":
      return drawDeaths(draw, places.entries);
    case "changes":
      return drawChanges(draw, places);
    case "long":
      return drawLongFaults(draw, places);
    case "keys":
      return addRemoval(draw, drawFaults(draw, places));
    case "bytes":
      return [];
  }
}

function planAction(
  id: string,
  { draw, entries, startWindowMs, routes, hasKeys }: {
    hasKeys: boolean;
    draw: Draw;
    entries: number;
    startWindowMs: number;
    routes: readonly RouteName[];
  },
): ActionPlan {
  const entry = draw.integer(0, entries - 1);
  const otherEntry = draw.integer(0, entries - 1);
  return {
    id,
    route: draw.pick(routes),
    entry,
    nextEntry: draw.chance(0.5) ? entry : otherEntry,
    startMs: draw.integer(0, startWindowMs),
    timeMs: draw.pick([800, 2_000, 3_000, 5_000]),
    keepsId: draw.chance(0.5),
    keepsConnection: draw.chance(0.6),
    bodyBytes: draw.pick([1, 1, 1, 40_000]),
    leavesAfterMs: draw.chance(0.1) ? draw.integer(5, 1_200) : undefined,
    key: hasKeys ? drawKey(draw) : undefined,
  };
}
