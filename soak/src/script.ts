/**
 * Turns the plan of a run into the script that an engine plays.
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

/** Creates the script of a run; `onStop` makes the disturbance that the plan has, if any. */
export function createScript(
  { events, style }: CasePlan,
  run: RunPlan,
  { call, after, onStop }: Pick<RawRequest, "call" | "after"> & {
    onStop?: () => void;
  },
): RunScript {
  const body = eventsOf(call, { count: events, after, style });
  const { stop, framing, piece: chunkBytes, pace: delayMs, status, notRun } =
    run;
  const stopAt = findStopOffset(body, run, style);
  // If the framing ended the body after a complete event, no caller could tell that the answer is incomplete.
  // Such a run falls silent instead.
  const staysSilent = stop === "ended" && stopAt === undefined;
  return {
    events,
    style,
    framing,
    piece: chunkBytes,
    pace: delayMs,
    status,
    notRun,
    onStop,
    stop: staysSilent ? "silent" : stop,
    stopAt: stopAt ?? 0,
  };
}

/** Whether a body ends where the framing of the run cannot distinguish it from a complete one. */
export function isIndistinguishableFromWhole(
  body: string,
  { framing, stop }: RunPlan,
  { lineEnd }: EventStyle,
): boolean {
  return framing === "none" && (stop === "closed" || stop === "ended") &&
    body.endsWith(lineEnd + lineEnd);
}

/** Returns the number of bytes before the stop, `undefined` if the framing would end after a complete event. */
function findStopOffset(
  body: string,
  { part: stopFraction, aligned: atEventEnd, framing, stop }: RunPlan,
  { lineEnd }: EventStyle,
): number | undefined {
  const eventEnd = lineEnd + lineEnd;
  const offset = Math.floor(stopFraction * body.length);
  if (atEventEnd && stop !== "ended") {
    const lastEventEnd = body.lastIndexOf(eventEnd, offset);
    return lastEventEnd < 0 ? 0 : lastEventEnd + eventEnd.length;
  }
  const mustSplitEvent = stop === "ended" && framing === "chunked";
  const isInsideEvent = (end: number): boolean =>
    end > 0 && !body.slice(0, end).endsWith(eventEnd);
  if (!mustSplitEvent || isInsideEvent(offset)) {
    return offset;
  }
  return isInsideEvent(offset + 1) && offset + 1 < body.length
    ? offset + 1
    : undefined;
}
