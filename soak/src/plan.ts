/**
 * What a seed plays: waves of streams, each with what its runs, its caller and the entries do.
 *
 * @module
 */
import {
  eventsOf,
  type EventStyle,
  type Stop,
} from "@sassafrasstep/playground/bytes";
import { Draw } from "./draw.ts";
import { planRun, planTermsRuns, type RunPlan, wholeRun } from "./plan_runs.ts";
import { planRestore, type StoreRestore } from "./restores.ts";
import { type EngineTerms, planTerms } from "./terms.ts";

/** What the caller of a stream does. */
export type CallerPlan =
  | { readonly kind: "reads" }
  /** Reads nothing for a while, once bytes have come. */
  | { readonly kind: "slow"; readonly holdMs: number; readonly after: number }
  | { readonly kind: "leaves"; readonly after: number };

/** One stream. */
export interface CasePlan {
  readonly call: string;
  readonly path: "resume" | "once";
  readonly entry: number;
  readonly startMs: number;
  readonly timeMs: number;
  readonly events: number;
  readonly style: EventStyle;
  readonly caller: CallerPlan;
  /** Entries at which the caller goes on by itself, in turn. */
  readonly again: readonly number[];
  /** First run, second and so on; the last one also for all further. */
  readonly runs: readonly RunPlan[];
}

/** What is done to an entry's process. */
export interface EntryEvent {
  readonly atMs: number;
  readonly entry: number;
  readonly kind: "pause" | "kill" | "stop";
  /** Length of a pause. */
  readonly forMs: number;
}

/** What a wave is about. */
export type WaveKind =
  /** Ways that streams stop, that attempts are left. */
  | "stops"
  /** The whole machine stands still while streams are under way. */
  | "stalls"
  /** Processes of entries are paused. */
  | "pauses"
  /** Processes of entries are paused, killed and stopped. */
  | "ends"
  /** Callers read nothing for seconds, of streams that fill all that stands between. */
  | "slow"
  /** Engines state limits, leave and want rest while entries are paused and killed. */
  | "terms"
  /** The store comes back from a copy while entries are paused and killed. */
  | "restores";

/** Streams that are under way together. */
export interface WavePlan {
  readonly seed: number;
  readonly wave: number;
  readonly kind: WaveKind;
  /** A region for each entry and each engine. */
  readonly entries: readonly string[];
  readonly engines: readonly string[];
  /** Whether each entry is a process of its own. */
  readonly processes: boolean;
  readonly cases: readonly CasePlan[];
  readonly entryEvents: readonly EntryEvent[];
  readonly terms: readonly EngineTerms[];
  readonly restore: StoreRestore | undefined;
  /** When this process stands still, and for how long. */
  readonly stalls: readonly { readonly atMs: number; readonly forMs: number }[];
}

/** Kinds of waves in their order; a seed plays them over and over. */
export const WAVE_KINDS: readonly WaveKind[] = [
  "stops",
  "stalls",
  "pauses",
  "ends",
  "slow",
  "terms",
  "restores",
];
/** Endpoints that a resumable stream may be sent to. */
export const ATTEMPTS = 4;
/** Timeout of the routes. */
export const TIMEOUT_MS = 9_000;

const NEAR = ["a", "a", "a", "a", "b", "b", "b", "b"];
const FAR = ["b", "b", "b", "b", "b"];
const PADDING = 16_000;
/** Requests of a wave of terms, and the time over which they come. */
const TERMS_CASES = 240;
const TERMS_MS = 8_000;
const TERMS_TIME_MS = 3_000;
/** The same of a wave of restores: it ends later than the last change has to be in force. */
const RESTORES_CASES = 300;
const RESTORES_MS = 13_000;

/** The plan of one wave. */
export function planWave(
  seed: number,
  { wave, entries: count }: { wave: number; entries: number },
): WavePlan {
  const draw = new Draw(seed, wave);
  const kind = WAVE_KINDS[wave % WAVE_KINDS.length]!;
  const entries = Array.from(
    { length: count },
    (_, index) => index < count / 2 ? "a" : "b",
  );
  const engines = draw.chance(0.4) ? FAR : NEAR;
  const caseCount = {
    stops: 24,
    stalls: 20,
    pauses: 20,
    ends: 20,
    slow: 6,
    terms: TERMS_CASES,
    restores: RESTORES_CASES,
  };
  const cases = Array.from(
    { length: caseCount[kind] },
    (_, index) =>
      PLANNERS[kind](`s${seed}w${wave}c${index}`, {
        draw,
        entries: count,
        lively: kind === "stops" || (kind === "ends" && draw.chance(0.4)),
      }),
  );
  const ending = kind === "ends" || kind === "terms" || kind === "restores";
  const entryEvents = kind === "pauses" || ending
    ? planEntryEvents(draw, { count, ending })
    : [];
  const terms = kind === "terms" ? planTerms(draw, engines) : [];
  const restore = kind === "restores" ? planRestore(draw, engines) : undefined;
  const stalls = kind === "stalls"
    ? [600, 3_400].map((atMs) => ({
      atMs: atMs + draw.between(0, 400),
      forMs: draw.between(1_600, 2_400),
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
  { draw, entries, lively }: { draw: Draw; entries: number; lively: boolean },
): CasePlan {
  const style: EventStyle = {
    lineEnd: draw.pick(["\n", "\r\n"]),
    versions: draw.chance(0.3),
    comments: draw.chance(0.3),
    ids: draw.chance(0.9),
  };
  const path = draw.chance(0.75) ? "resume" : "once";
  const entry = draw.between(0, entries - 1);
  const again = draw.chance(0.5)
    ? [draw.between(0, entries - 1), draw.between(0, entries - 1)]
    : [];
  if (!lively) {
    return planLongCase(call, { draw, style, path, entry, again });
  }
  const events = draw.between(4, 16);
  const runs = Array.from(
    { length: draw.pick([0, 1, 1, 2, 2, 3]) },
    (_, index) => planRun(draw, index),
  );
  return {
    call,
    path,
    entry,
    again,
    events,
    style,
    startMs: draw.between(0, 300),
    // A stream that can't go on elsewhere waits for its timeout where its engine falls silent.
    timeMs: path === "once" || !style.ids || draw.chance(0.1)
      ? draw.between(900, 2_500)
      : TIMEOUT_MS,
    caller: planCaller(draw, events),
    runs: [...runs, wholeRun(draw)],
  };
}

/** A stream that nothing happens to but what happens to entries and machine. */
function planLongCase(
  call: string,
  { draw, ...rest }:
    & { draw: Draw }
    & Pick<CasePlan, "style" | "path" | "entry" | "again">,
): CasePlan {
  const large = draw.chance(0.1);
  const style = large ? { ...rest.style, padding: PADDING } : rest.style;
  const events = large ? 300 : draw.between(3, 60);
  const bytes = eventsOf(call, { count: events, style }).length;
  const pace = draw.between(15, 60);
  const piece = Math.ceil(bytes * pace / draw.between(2_000, 3_000));
  const run = { ...wholeRun(draw), pace, piece };
  return {
    ...rest,
    call,
    style,
    events,
    startMs: draw.between(0, 500),
    timeMs: TIMEOUT_MS,
    caller: large
      ? { kind: "slow", holdMs: draw.between(1_700, 2_600), after: 200_000 }
      : { kind: "reads" },
    runs: [run],
  };
}

/** A stream of more bytes than sockets and buffers hold. */
function planSlowCase(
  call: string,
  { draw, entries }: { draw: Draw; entries: number },
): CasePlan {
  const run = { ...wholeRun(draw), piece: 100_000, pace: 0 };
  const cut: RunPlan = {
    ...run,
    stop: draw.pick<Stop>(["closed", "reset"]),
    part: 0.3 + draw.part() / 2,
  };
  return {
    call,
    path: draw.pick(["resume", "once"]),
    entry: draw.between(0, entries - 1),
    again: [],
    events: 160,
    style: {
      lineEnd: "\n",
      versions: false,
      comments: false,
      ids: true,
      padding: 100_000,
    },
    startMs: draw.between(0, 200),
    timeMs: TIMEOUT_MS,
    caller: {
      kind: "slow",
      holdMs: draw.between(2_200, 3_500),
      after: draw.between(1, 2_000_000),
    },
    runs: draw.chance(0.5) ? [run] : [cut, run],
  };
}

/** A short stream of a steady load. */
function planTermsCase(
  call: string,
  { draw, entries, within = TERMS_MS }: {
    draw: Draw;
    entries: number;
    within?: number;
  },
): CasePlan {
  return {
    call,
    path: draw.pick(["resume", "once"]),
    entry: draw.between(0, entries - 1),
    again: [],
    events: draw.between(2, 8),
    style: { lineEnd: "\n", versions: false, comments: false, ids: true },
    startMs: draw.between(0, within),
    timeMs: TERMS_TIME_MS,
    caller: { kind: "reads" },
    runs: planTermsRuns(draw),
  };
}

/** The same, over a longer time. */
function planRestoresCase(
  call: string,
  options: { draw: Draw; entries: number },
): CasePlan {
  return planTermsCase(call, { ...options, within: RESTORES_MS });
}

const PLANNERS = {
  stops: planCase,
  stalls: planCase,
  pauses: planCase,
  ends: planCase,
  slow: planSlowCase,
  terms: planTermsCase,
  restores: planRestoresCase,
} as const;

function planCaller(draw: Draw, events: number): CallerPlan {
  const after = draw.between(1, events * 30);
  const roll = draw.part();
  if (roll < 0.1) {
    return { kind: "leaves", after };
  }
  return roll < 0.25
    ? { kind: "slow", holdMs: draw.between(200, 2_500), after }
    : { kind: "reads" };
}

function planEntryEvents(
  draw: Draw,
  { count, ending }: { count: number; ending: boolean },
): EntryEvent[] {
  const first = draw.between(0, count - 1);
  return Array.from({ length: ending ? 3 : 2 }, (_, index) => ({
    atMs: 700 + draw.between(0, 1_200) + index * 300,
    entry: (first + index) % count,
    kind: ending && index !== 1
      ? draw.pick<EntryEvent["kind"]>(["kill", "stop"])
      : "pause",
    forMs: draw.between(1_000, 4_000),
  }));
}
