/**
 * Plans a wave of actions, plain requests and streams, and the faults of links and processes during them.
 *
 * @module
 */
import { Draw } from "../draw.ts";
import { drawFaults, type Fault } from "./action_faults.ts";
import type { EndpointFaults } from "./behaviours.ts";
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
} as const;

export type RouteName = keyof typeof ROUTES;

/** Whether a request of a route may run only once. */
export function mustRunOnce(route: RouteName): boolean {
  return route === "once" || route === "twice" || route === "stream";
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
  /** Faults of endpoints: of every kind, or refusals alone, some of which are sent once more. */
  readonly endpointFaults: EndpointFaults;
  readonly actions: readonly ActionPlan[];
  readonly faults: readonly Fault[];
}

export const REGIONS = ["a", "b", "c"];
const ENTRIES_PER_REGION = 2;
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
];

/** Plans a wave; the same seed gives the same plan. */
export function planActionWave(seed: number): ActionWavePlan {
  const draw = new Draw(seed, 0);
  const entries = REGIONS.flatMap((region) =>
    Array.from({ length: ENTRIES_PER_REGION }, () => region)
  );
  const endpointFaults = draw.pick(["mixed", "refusals"] as const);
  const { core, model } = LAYOUTS[endpointFaults];
  const endpoints = [
    ...core.map((region) => ({ service: "core" as const, region })),
    ...model.map((region) => ({ service: "model" as const, region })),
  ];
  const faults = drawFaults(draw, {
    entries,
    endpoints: endpoints.map(({ region }) => region),
  });
  return {
    seed,
    entries,
    endpoints,
    endpointFaults,
    actions: Array.from(
      { length: ACTION_COUNT },
      (_, index) =>
        planAction(`s${seed}c${index}`, { draw, entries: entries.length }),
    ),
    faults: endpointFaults === "mixed"
      ? faults
      : faults.filter(({ kind }) => !ENDPOINT_FAULTS.has(kind)),
  };
}

function planAction(
  id: string,
  { draw, entries }: { draw: Draw; entries: number },
): ActionPlan {
  const entry = draw.integer(0, entries - 1);
  const otherEntry = draw.integer(0, entries - 1);
  return {
    id,
    route: draw.pick(ROUTE_DRAWS),
    entry,
    nextEntry: draw.chance(0.5) ? entry : otherEntry,
    startMs: draw.integer(0, START_WINDOW_MS),
    timeMs: draw.pick([800, 2_000, 3_000, 5_000]),
    keepsId: draw.chance(0.5),
    keepsConnection: draw.chance(0.6),
    bodyBytes: draw.pick([1, 1, 1, 40_000]),
    leavesAfterMs: draw.chance(0.1) ? draw.integer(5, 1_200) : undefined,
  };
}
