/**
 * How often an entry looks at what is due.
 *
 * @module
 */
import { type Milliseconds, milliseconds } from "../ids/index.ts";

/** Between ticks while requests are open: the grain of timeouts and of work reports. */
const TICK_MS = 25;
/**
 * Between ticks without any: pings and reads of the picture are late by as much. Waking was a third of
 * what an entry spent that had nothing to do.
 */
const RESTING_TICK_MS = 250;
/** The same while the entry gets to know the fleet: it asks as often. */
const JOINING_TICK_MS = 100;

/** Time until the next tick is due. */
export function tickPause(
  { active, joining }: { active: boolean; joining: boolean },
): Milliseconds {
  if (active) {
    return milliseconds(TICK_MS);
  }
  return milliseconds(joining ? JOINING_TICK_MS : RESTING_TICK_MS);
}
