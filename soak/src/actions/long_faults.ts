/**
 * Faults of a long wave in which no entry ends, so that each of them keeps what it does not give back.
 *
 * @module
 */
import type { Draw } from "../draw.ts";
import { drawFaults, type Fault } from "./action_faults.ts";

/** How much longer than others the wave lasts. */
const STRETCH = 4;

/** Draws faults over the whole wave. */
export function drawLongFaults(
  draw: Draw,
  places: Parameters<typeof drawFaults>[1],
): Fault[] {
  return [...drawFaults(draw, places), ...drawFaults(draw, places)]
    .filter(({ kind }) => kind !== "kill" && kind !== "stop")
    .map((fault) => ({ ...fault, atMs: fault.atMs * STRETCH }));
}
