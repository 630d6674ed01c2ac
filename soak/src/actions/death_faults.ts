/**
 * Faults of a wave in which entries are gone for long, and in the end all of them are killed.
 *
 * @module
 */
import type { Draw } from "../draw.ts";
import type { Fault } from "./action_faults.ts";

/** Long enough for directories to be judged while an entry is gone. */
const MIN_ABSENCE_MS = 8_000;
const MAX_ABSENCE_MS = 10_500;
const ALL_KILLED_AT_MS = 14_000;

/** Draws absences, an entry that is paused beside them, and a kill of all entries. */
export function drawDeaths(draw: Draw, entries: readonly string[]): Fault[] {
  const count = draw.integer(1, 3);
  const absent = draw.integer(0, entries.length - 1);
  const absences = Array.from({ length: count }, (_, index) => ({
    kind: "absence" as const,
    entry: (absent + index * draw.integer(1, 2)) % entries.length,
    atMs: draw.integer(500, 3_000),
    forMs: draw.integer(MIN_ABSENCE_MS, MAX_ABSENCE_MS),
  }));
  return [
    ...absences,
    {
      kind: "pause",
      entry: draw.integer(0, entries.length - 1),
      atMs: draw.integer(0, 6_000),
      forMs: draw.integer(100, 2_500),
    },
    {
      kind: "allKilled",
      atMs: ALL_KILLED_AT_MS + draw.integer(0, 500),
      forMs: draw.integer(0, 2_000),
    },
  ];
}
