/**
 * Plans a wave of actions, plain requests and streams, and the faults of links and processes during them.
 *
 * @module
 */
import { Draw } from "../draw.ts";
import { drawFaults, type Fault } from "./action_faults.ts";
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
  /** Whether the caller's connection is kept and used again. */
  readonly keepsConnection: boolean;
  readonly bodyBytes: number;
  /** When the caller leaves, `undefined` for one that waits for its answer. */
  readonly leavesAfterMs: number | undefined;
}

/** A wave. */
export interface ActionWavePlan {
  readonly seed: number;
  /** Region of each entry. */
  readonly entries: readonly string[];
  readonly endpoints: readonly {
    readonly service: ServiceName;
    readonly region: string;
  }[];
  readonly actions: readonly ActionPlan[];
  readonly faults: readonly Fault[];
}

export const REGIONS = ["a", "b", "c"];
const ENTRIES_PER_REGION = 2;
const MODEL_ENDPOINTS = ["a", "a", "a", "b", "b", "c"];
/** One region has none, so that its requests are relayed. */
const CORE_ENDPOINTS = ["a", "a", "b", "b"];
const ACTION_COUNT = 500;
const START_WINDOW_MS = 9_000;
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

/** Plans a wave; the same seed gives the same plan. */
export function planActionWave(seed: number): ActionWavePlan {
  const draw = new Draw(seed, 0);
  const entries = REGIONS.flatMap((region) =>
    Array.from({ length: ENTRIES_PER_REGION }, () => region)
  );
  const endpoints = [
    ...CORE_ENDPOINTS.map((region) => ({ service: "core" as const, region })),
    ...MODEL_ENDPOINTS.map((region) => ({ service: "model" as const, region })),
  ];
  return {
    seed,
    entries,
    endpoints,
    actions: Array.from(
      { length: ACTION_COUNT },
      (_, index) =>
        planAction(`s${seed}c${index}`, { draw, entries: entries.length }),
    ),
    faults: drawFaults(draw, {
      entries,
      endpoints: endpoints.map(({ region }) => region),
    }),
  };
}

function planAction(
  id: string,
  { draw, entries }: { draw: Draw; entries: number },
): ActionPlan {
  return {
    id,
    route: draw.pick(ROUTE_DRAWS),
    entry: draw.integer(0, entries - 1),
    nextEntry: draw.integer(0, entries - 1),
    startMs: draw.integer(0, START_WINDOW_MS),
    timeMs: draw.pick([800, 2_000, 3_000, 5_000]),
    keepsConnection: draw.chance(0.6),
    bodyBytes: draw.pick([1, 1, 1, 40_000]),
    leavesAfterMs: draw.chance(0.1) ? draw.integer(5, 1_200) : undefined,
  };
}
