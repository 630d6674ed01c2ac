/**
 * Turns the plan of a run into what an engine does.
 *
 * @module
 */
import {
  eventsOf,
  type EventStyle,
  type RawRequest,
  type RunScript,
} from "@sassafrasstep/playground/bytes";
import type { CasePlan } from "./plan.ts";
import type { RunPlan } from "./plan_runs.ts";

/** The run's script; `onStop` is called where the plan disturbs something. */
export function scriptOf(
  { events, style }: CasePlan,
  run: RunPlan,
  { call, after, onStop }: Pick<RawRequest, "call" | "after"> & {
    onStop?: () => void;
  },
): RunScript {
  const body = eventsOf(call, { count: events, after, style });
  const { stop, framing, piece, pace, status, notRun } = run;
  const stopAt = stopOf(body, run, style);
  // Nothing tells a caller that an answer which its framing ends after an event is not the whole one.
  const silent = stop === "ended" && stopAt === undefined;
  return {
    events,
    style,
    framing,
    piece,
    pace,
    status,
    notRun,
    onStop,
    stop: silent ? "silent" : stop,
    stopAt: stopAt ?? 0,
  };
}

/** Whether a body ends where the framing of a run couldn't tell it from a whole one. */
export function looksWhole(
  body: string,
  { framing, stop }: RunPlan,
  { lineEnd }: EventStyle,
): boolean {
  return framing === "none" && (stop === "closed" || stop === "ended") &&
    body.endsWith(lineEnd + lineEnd);
}

/** Bytes before the stop; `undefined` where the framing would end after an event. */
function stopOf(
  body: string,
  { part, aligned, framing, stop }: RunPlan,
  { lineEnd }: EventStyle,
): number | undefined {
  const blank = lineEnd + lineEnd;
  const at = Math.floor(part * body.length);
  if (aligned && stop !== "ended") {
    const boundary = body.lastIndexOf(blank, at);
    return boundary < 0 ? 0 : boundary + blank.length;
  }
  const ends = stop === "ended" && framing === "chunked";
  const inside = (end: number): boolean =>
    end > 0 && !body.slice(0, end).endsWith(blank);
  if (!ends || inside(at)) {
    return at;
  }
  return inside(at + 1) && at + 1 < body.length ? at + 1 : undefined;
}
