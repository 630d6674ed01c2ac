/**
 * What the runs of a stream do, in which an engine may fail it.
 *
 * @module
 */
import type { Framing, Stop } from "@sassafrasstep/playground/bytes";
import type { Draw } from "./draw.ts";

/** What is done to an engine, or to all, once a run has come to its stop. */
export type Disturbance =
  /** Another life of the engine is told in the store. */
  | "born"
  /** Its record goes from the store. */
  | "removed"
  /** Its port is closed, and connections that are open stay. */
  | "refused"
  /** The route allows fewer endpoints. */
  | "fewer"
  /** The route's streams may not be resumed any more. */
  | "unresumable"
  /** The route stands elsewhere. */
  | "moved";

/** What one run of a stream does. */
export interface RunPlan {
  readonly stop: Stop;
  readonly framing: Framing;
  /** Part of its bytes after which it stops. */
  readonly part: number;
  /** Whether it stops at the end of an event. */
  readonly aligned: boolean;
  readonly piece: number;
  readonly pace: number;
  readonly status?: number;
  readonly notRun?: boolean;
  readonly disturbance?: Disturbance;
}

/** Some break off or are turned away first, so that repeats and resumed streams meet the terms too. */
export function planTermsRuns(draw: Draw): RunPlan[] {
  const whole = { ...wholeRun(draw), piece: 20, pace: 5 };
  const roll = draw.part();
  if (roll < 0.2) {
    const stop = draw.pick<Stop>(["closed", "reset"]);
    return [{ ...whole, framing: "chunked", stop, part: draw.part() }, whole];
  }
  return roll < 0.3
    ? [{ ...whole, status: 503, notRun: true }, whole]
    : [whole];
}

/** A run that ends as it should. */
export function wholeRun(draw: Draw): RunPlan {
  return {
    stop: "whole",
    framing: draw.pick(["chunked", "chunked", "length", "none"]),
    part: 1,
    aligned: false,
    piece: draw.pick([1, 7, 20, 60, 100_000]),
    pace: draw.pick([0, 0, 1, 5]),
  };
}

const REFUSALS = [
  { status: 500 },
  { status: 503, notRun: true },
  { status: 421, notRun: true },
];

/** A run that stops; a later one may also be refused, or fail. */
export function planRun(draw: Draw, index: number): RunPlan {
  const base = wholeRun(draw);
  if (index > 0 && draw.chance(0.35)) {
    return { ...base, ...draw.pick(REFUSALS) };
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
    part: draw.part(),
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
