/**
 * Plans what engines do in each run of a stream, including how they fail.
 *
 * @module
 */
import type { Framing, Stop } from "@sassafrasstep/playground/bytes";
import type { Draw } from "./draw.ts";

/** A change to an engine or to the route, made when a run reaches the byte at which it stops. */
export type Disturbance =
  /** The store announces another life of the engine, as after a restart. */
  | "born"
  /** The engine's record is removed from the store. */
  | "removed"
  /** The engine's port is closed; open connections stay. */
  | "refused"
  /** The route allows one attempt fewer. */
  | "fewer"
  /** The route no longer allows streams to be resumed. */
  | "unresumable"
  /** The route moves to another path. */
  | "moved";

/** What an engine does in one run of a stream. */
export interface RunPlan {
  readonly stop: Stop;
  readonly framing: Framing;
  /** Fraction of the body's bytes after which the run stops. */
  readonly part: number;
  /** Whether the run stops at the end of an event. */
  readonly aligned: boolean;
  /** Bytes per write. */
  readonly piece: number;
  /** Delay between writes. */
  readonly pace: number;
  /** Status that is answered instead of a stream. */
  readonly status?: number;
  /** Whether the answer says that the request did not run. */
  readonly notRun?: boolean;
  readonly disturbance?: Disturbance;
}

/**
 * Plans the runs of a stream in a `terms` or `restores` wave. Some break off or are rejected first, so that the
 * terms are also tested with retries and resumed streams.
 */
export function planTermsRuns(draw: Draw): RunPlan[] {
  const completeRun = { ...planCompleteRun(draw), piece: 20, pace: 5 };
  const roll = draw.fraction();
  if (roll < 0.2) {
    const stop = draw.pick<Stop>(["closed", "reset"]);
    return [{
      ...completeRun,
      framing: "chunked",
      stop,
      part: draw.fraction(),
    }, completeRun];
  }
  return roll < 0.3
    ? [{ ...completeRun, status: 503, notRun: true }, completeRun]
    : [completeRun];
}

/** Plans the runs of a stream in a `retries` wave: up to three are rejected or break off. */
export function planRetriesRuns(draw: Draw): RunPlan[] {
  const completeRun = { ...planCompleteRun(draw), piece: 20, pace: 5 };
  const failed = Array.from(
    { length: draw.integer(0, 3) },
    (): RunPlan =>
      draw.chance(0.7) ? { ...completeRun, status: 503, notRun: true } : {
        ...completeRun,
        framing: "chunked",
        stop: draw.pick<Stop>(["closed", "reset"]),
        part: draw.fraction(),
      },
  );
  return [...failed, completeRun];
}

/** Plans a run that completes. */
export function planCompleteRun(draw: Draw): RunPlan {
  return {
    stop: "whole",
    framing: draw.pick(["chunked", "chunked", "length", "none"]),
    part: 1,
    aligned: false,
    piece: draw.pick([1, 7, 20, 60, 100_000]),
    pace: draw.pick([0, 0, 1, 5]),
  };
}

const ERROR_ANSWERS = [
  { status: 500 },
  { status: 503, notRun: true },
  { status: 421, notRun: true },
];

/** Plans a run that stops early; runs after the first may be answered with an error status instead. */
export function planFailingRun(draw: Draw, index: number): RunPlan {
  const base = planCompleteRun(draw);
  if (index > 0 && draw.chance(0.35)) {
    return { ...base, ...draw.pick(ERROR_ANSWERS) };
  }
  const stop = draw.pick<Stop>([
    "ended",
    "closed",
    "reset",
    "silent",
    "silent",
    "late",
  ]);
  const stopped = {
    ...base,
    stop,
    part: draw.fraction(),
    aligned: draw.chance(0.2),
    pace: draw.pick([0, 0, 1]),
  };
  return stop === "silent" && draw.chance(0.3)
    ? {
      ...stopped,
      disturbance: draw.pick<Disturbance>([
        "born",
        "born",
        "removed",
        "refused",
        "fewer",
        "unresumable",
        "moved",
      ]),
    }
    : stopped;
}
