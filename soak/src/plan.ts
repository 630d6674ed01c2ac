/**
 * Plans the waves of a seed: their streams with the behaviour of runs and callers, and the faults of entries,
 * engines and the store.
 *
 * @module
 */
import {
  eventsOf,
  type EventStyle,
  type Stop,
} from "@sassafrasstep/playground/bytes";
import { Draw } from "./draw.ts";
import {
  planCompleteRun,
  planFailingRun,
  planRetriesRuns,
  planTermsRuns,
  type RunPlan,
} from "./plan_runs.ts";
import { planRestore, type StoreRestore } from "./restores.ts";
import { type EngineTerms, planTerms } from "./terms.ts";

/** How the caller of a stream behaves. */
export type CallerPlan =
  | { readonly kind: "reads" }
  /** Stops reading for `holdMs` once it has received `after` bytes. */
  | { readonly kind: "slow"; readonly holdMs: number; readonly after: number }
  /** Disconnects once it has received `after` bytes. */
  | { readonly kind: "leaves"; readonly after: number };

/** One stream: its caller, its events and its runs. */
export interface CasePlan {
  readonly call: string;
  readonly path: "resume" | "once";
  readonly entry: number;
  readonly startMs: number;
  readonly timeMs: number;
  readonly events: number;
  readonly style: EventStyle;
  readonly caller: CallerPlan;
  /** Entries at which the caller resumes a broken stream by itself, in order. */
  readonly again: readonly number[];
  /** Plans of the runs in order; the last one also applies to all further runs. */
  readonly runs: readonly RunPlan[];
}

/** A signal to the process of an entry. */
export interface EntryEvent {
  readonly atMs: number;
  readonly entry: number;
  readonly kind: "pause" | "kill" | "stop" | "restart";
  /** Length of a pause; unused for other kinds. */
  readonly forMs: number;
}

/** The kind of faults that a wave plays. */
export type WaveKind =
  /** Runs stop early in various ways, and attempts are abandoned. */
  | "stops"
  /** All processes stall while streams are in progress, as on a busy machine. */
  | "stalls"
  /** Entry processes are paused. */
  | "pauses"
  /** Entry processes are paused, killed and stopped. */
  | "ends"
  /** Callers stop reading for seconds, on streams that fill all buffers up to the engine. */
  | "slow"
  /** Engines state rate limits, leave or ask for rest while entries are paused, killed and stopped. */
  | "terms"
  /** The store is restored from a copy while entries are paused, killed and stopped. */
  | "restores"
  /** Engines reject many requests and break streams off while entries are killed and start again, in series. */
  | "retries";

/** A set of streams that run at the same time, and the faults during them. */
export interface WavePlan {
  readonly seed: number;
  readonly wave: number;
  readonly kind: WaveKind;
  /** Region of each entry. */
  readonly entries: readonly string[];
  /** Region of each engine. */
  readonly engines: readonly string[];
  /** Whether each entry runs in its own process. */
  readonly processes: boolean;
  readonly cases: readonly CasePlan[];
  readonly entryEvents: readonly EntryEvent[];
  readonly terms: readonly EngineTerms[];
  readonly restore: StoreRestore | undefined;
  /** When all processes stall, and for how long. */
  readonly stalls: readonly {
    readonly atMs: number;
    readonly forMs: number;
  }[];
}

/** Kinds of waves in the order in which a seed plays them, repeatedly. */
export const WAVE_KINDS: readonly WaveKind[] = [
  "stops",
  "stalls",
  "pauses",
  "ends",
  "slow",
  "terms",
  "restores",
  "retries",
];
/** Endpoints that a resumable stream may be sent to. */
export const MAX_ATTEMPTS = 4;
export const ROUTE_TIMEOUT_MS = 9_000;

const ENGINES_IN_BOTH_REGIONS = ["a", "a", "a", "a", "b", "b", "b", "b"];
const ENGINES_IN_REGION_B = ["b", "b", "b", "b", "b"];
const LARGE_EVENT_PADDING_BYTES = 16_000;
/** Number of requests in a `terms` wave, and the time span in which they start. */
const TERMS_CASE_COUNT = 240;
const TERMS_START_WINDOW_MS = 8_000;
const TERMS_DEADLINE_MS = 3_000;
/** The same for a `restores` wave. Requests still start after the last change must be in force. */
const RESTORES_CASE_COUNT = 300;
const RESTORES_START_WINDOW_MS = 13_000;

/** The same for a `retries` wave. Entries start again three times within one window of the retry budget. */
const RETRIES_CASE_COUNT = 300;
const RETRIES_START_WINDOW_MS = 12_000;
const RESTARTS_PER_ENTRY = 3;
/** Retries that all entries may make together in a `retries` wave, beside a fraction of the requests. */
export const RETRY_SLACK = 24;

/** Plans one wave. */
export function planWave(
  seed: number,
  { wave, entries: entryCount }: { wave: number; entries: number },
): WavePlan {
  const draw = new Draw(seed, wave);
  const kind = WAVE_KINDS[wave % WAVE_KINDS.length]!;
  const entries = Array.from(
    { length: entryCount },
    (_, index) => index < entryCount / 2 ? "a" : "b",
  );
  const engines = draw.chance(0.4)
    ? ENGINES_IN_REGION_B
    : ENGINES_IN_BOTH_REGIONS;
  const caseCounts = {
    stops: 24,
    stalls: 20,
    pauses: 20,
    ends: 20,
    slow: 6,
    terms: TERMS_CASE_COUNT,
    restores: RESTORES_CASE_COUNT,
    retries: RETRIES_CASE_COUNT,
  };
  const cases = Array.from(
    { length: caseCounts[kind] },
    (_, index) =>
      CASE_PLANNERS[kind](`s${seed}w${wave}c${index}`, {
        draw,
        entries: entryCount,
        withRunFaults: kind === "stops" ||
          (kind === "ends" && draw.chance(0.4)),
      }),
  );
  const terminatesEntries = kind === "ends" || kind === "terms" ||
    kind === "restores";
  const entryEvents = kind === "retries"
    ? planRestarts(draw, entryCount)
    : kind === "pauses" || terminatesEntries
    ? planEntryEvents(draw, { entryCount, terminatesEntries })
    : [];
  const terms = kind === "terms" ? planTerms(draw, engines) : [];
  const restore = kind === "restores" ? planRestore(draw, engines) : undefined;
  const stalls = kind === "stalls"
    ? [600, 3_400].map((atMs) => ({
      atMs: atMs + draw.integer(0, 400),
      forMs: draw.integer(1_600, 2_400),
    }))
    : [];
  const processes = entryEvents.length > 0 ||
    (kind === "stalls" && draw.chance(0.5));
  return {
    seed,
    wave,
    kind,
    entries,
    engines,
    processes,
    cases,
    entryEvents,
    terms,
    restore,
    stalls,
  };
}

function planCase(
  call: string,
  { draw, entries, withRunFaults }: {
    draw: Draw;
    entries: number;
    withRunFaults: boolean;
  },
): CasePlan {
  const style: EventStyle = {
    lineEnd: draw.pick(["\n", "\r\n"]),
    versions: draw.chance(0.3),
    comments: draw.chance(0.3),
    ids: draw.chance(0.9),
  };
  const path = draw.chance(0.75) ? "resume" : "once";
  const entry = draw.integer(0, entries - 1);
  const retryEntries = draw.chance(0.5)
    ? [draw.integer(0, entries - 1), draw.integer(0, entries - 1)]
    : [];
  if (!withRunFaults) {
    return planUndisturbedCase(call, {
      draw,
      style,
      path,
      entry,
      again: retryEntries,
    });
  }
  const events = draw.integer(4, 16);
  const runs = Array.from(
    { length: draw.pick([0, 1, 1, 2, 2, 3]) },
    (_, index) => planFailingRun(draw, index),
  );
  return {
    call,
    path,
    entry,
    again: retryEntries,
    events,
    style,
    startMs: draw.integer(0, 300),
    // A stream that cannot be resumed waits out its deadline if its engine falls silent, so it gets a short one.
    timeMs: path === "once" || !style.ids || draw.chance(0.1)
      ? draw.integer(900, 2_500)
      : ROUTE_TIMEOUT_MS,
    caller: planCaller(draw, events),
    runs: [...runs, planCompleteRun(draw)],
  };
}

/** Plans a stream whose runs have no faults; only faults of entries and stalls affect it. */
function planUndisturbedCase(
  call: string,
  { draw, ...rest }:
    & { draw: Draw }
    & Pick<CasePlan, "style" | "path" | "entry" | "again">,
): CasePlan {
  const isLarge = draw.chance(0.1);
  const style = isLarge
    ? { ...rest.style, padding: LARGE_EVENT_PADDING_BYTES }
    : rest.style;
  const events = isLarge ? 300 : draw.integer(3, 60);
  const bytes = eventsOf(call, { count: events, style }).length;
  const delayMs = draw.integer(15, 60);
  const chunkBytes = Math.ceil(bytes * delayMs / draw.integer(2_000, 3_000));
  const run = { ...planCompleteRun(draw), pace: delayMs, piece: chunkBytes };
  return {
    ...rest,
    call,
    style,
    events,
    startMs: draw.integer(0, 500),
    timeMs: ROUTE_TIMEOUT_MS,
    caller: isLarge
      ? { kind: "slow", holdMs: draw.integer(1_700, 2_600), after: 200_000 }
      : { kind: "reads" },
    runs: [run],
  };
}

/** Plans a stream of more bytes than sockets and buffers hold. */
function planSlowCase(
  call: string,
  { draw, entries }: { draw: Draw; entries: number },
): CasePlan {
  const run = { ...planCompleteRun(draw), piece: 100_000, pace: 0 };
  const truncatedRun: RunPlan = {
    ...run,
    stop: draw.pick<Stop>(["closed", "reset"]),
    part: 0.3 + draw.fraction() / 2,
  };
  return {
    call,
    path: draw.pick(["resume", "once"]),
    entry: draw.integer(0, entries - 1),
    again: [],
    events: 160,
    style: {
      lineEnd: "\n",
      versions: false,
      comments: false,
      ids: true,
      padding: 100_000,
    },
    startMs: draw.integer(0, 200),
    timeMs: ROUTE_TIMEOUT_MS,
    caller: {
      kind: "slow",
      holdMs: draw.integer(2_200, 3_500),
      after: draw.integer(1, 2_000_000),
    },
    runs: draw.chance(0.5) ? [run] : [truncatedRun, run],
  };
}

/** Plans a short stream; many of them form a steady load. */
function planTermsCase(
  call: string,
  { draw, entries, startWindowMs = TERMS_START_WINDOW_MS }: {
    draw: Draw;
    entries: number;
    startWindowMs?: number;
  },
): CasePlan {
  return {
    call,
    path: draw.pick(["resume", "once"]),
    entry: draw.integer(0, entries - 1),
    again: [],
    events: draw.integer(2, 8),
    style: { lineEnd: "\n", versions: false, comments: false, ids: true },
    startMs: draw.integer(0, startWindowMs),
    timeMs: TERMS_DEADLINE_MS,
    caller: { kind: "reads" },
    runs: planTermsRuns(draw),
  };
}

/** Plans a short stream that starts within the longer time span of a `restores` wave. */
function planRestoresCase(
  call: string,
  options: { draw: Draw; entries: number },
): CasePlan {
  return planTermsCase(call, {
    ...options,
    startWindowMs: RESTORES_START_WINDOW_MS,
  });
}

/** Plans a short stream that is rejected or breaks off more often than not. */
function planRetriesCase(
  call: string,
  { draw, entries }: { draw: Draw; entries: number },
): CasePlan {
  const plan = planTermsCase(call, {
    draw,
    entries,
    startWindowMs: RETRIES_START_WINDOW_MS,
  });
  return { ...plan, runs: planRetriesRuns(draw) };
}

const CASE_PLANNERS = {
  stops: planCase,
  stalls: planCase,
  pauses: planCase,
  ends: planCase,
  slow: planSlowCase,
  terms: planTermsCase,
  restores: planRestoresCase,
  retries: planRetriesCase,
} as const;

function planCaller(draw: Draw, events: number): CallerPlan {
  const afterBytes = draw.integer(1, events * 30);
  const roll = draw.fraction();
  if (roll < 0.1) {
    return { kind: "leaves", after: afterBytes };
  }
  return roll < 0.25
    ? { kind: "slow", holdMs: draw.integer(200, 2_500), after: afterBytes }
    : { kind: "reads" };
}

/** All entries start again several times, at about the same time or each by itself. */
function planRestarts(draw: Draw, entryCount: number): EntryEvent[] {
  const spreadMs = draw.pick([0, 200, 2_000]);
  return Array.from({ length: RESTARTS_PER_ENTRY }, (_, index) => index)
    .flatMap((index) =>
      Array.from({ length: entryCount }, (_, entry): EntryEvent => ({
        atMs: 2_500 + index * 2_800 + draw.integer(0, spreadMs),
        entry,
        kind: draw.chance(0.85) ? "restart" : "pause",
        forMs: draw.integer(300, 1_500),
      }))
    );
}

function planEntryEvents(
  draw: Draw,
  { entryCount, terminatesEntries }: {
    entryCount: number;
    terminatesEntries: boolean;
  },
): EntryEvent[] {
  const firstEntry = draw.integer(0, entryCount - 1);
  return Array.from({ length: terminatesEntries ? 3 : 2 }, (_, index) => ({
    atMs: 700 + draw.integer(0, 1_200) + index * 300,
    entry: (firstEntry + index) % entryCount,
    kind: terminatesEntries && index !== 1
      ? draw.pick<EntryEvent["kind"]>(["kill", "stop"])
      : "pause",
    forMs: draw.integer(1_000, 4_000),
  }));
}
