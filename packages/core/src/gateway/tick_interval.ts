/**
 * How often an entry is ticked.
 *
 * @module
 */
import { type Milliseconds, milliseconds } from "../ids/index.ts";

/** Tick interval while requests are open: the granularity of timeouts and of work reports. */
const ACTIVE_TICK_MS = 25;
/**
 * Tick interval without open requests: pings and catalogue reads may be late by this much. At shorter
 * intervals, waking up took a third of the CPU time of an idle entry.
 */
const IDLE_TICK_MS = 250;
/**
 * Tick interval without open requests while the entry joins the fleet: it sends queries at this interval.
 */
const JOINING_TICK_MS = 100;

/** Returns the time until the next tick is due. */
export function tickInterval(
  { active, joining }: { active: boolean; joining: boolean },
): Milliseconds {
  if (active) {
    return milliseconds(ACTIVE_TICK_MS);
  }
  return milliseconds(joining ? JOINING_TICK_MS : IDLE_TICK_MS);
}
