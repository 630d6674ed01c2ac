/**
 * Sums up what a load came to.
 *
 * @module
 */
import type { LoadEnd, LoadOutcome } from "./load_types.ts";
import type { LoadResult } from "./load_run.ts";

const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;
const ENDS: readonly LoadEnd[] = [
  "on_time",
  "late",
  "refused",
  "failed",
  "left",
];

/** Part of the worth of some requests that was earned, and how they ended. */
export interface LoadSum {
  readonly requests: number;
  readonly earned: number;
  readonly ends: Readonly<Record<LoadEnd, number>>;
  /** Time to the first event, middle and 95th in a hundred, in milliseconds. */
  readonly firstMedian: number;
  readonly firstP95: number;
}

/** The figures of one run. */
export interface LoadReport {
  readonly all: LoadSum;
  readonly kinds: Readonly<Record<string, LoadSum>>;
  readonly regions: Readonly<Record<string, LoadSum>>;
  /** Mean of the windows that earned least. */
  readonly worstWindows: number;
  /** Prompt tokens read, and found kept, in thousands. */
  readonly readThousands: number;
  readonly keptThousands: number;
}

/** Sums up. */
export function reportLoad({ outcomes, engines }: LoadResult): LoadReport {
  const by = (key: (outcome: LoadOutcome) => string) =>
    Object.fromEntries(
      [...new Set(outcomes.map(key))].sort().map((
        name,
      ) => [name, sumOf(outcomes.filter((outcome) => key(outcome) === name))]),
    );
  const windows = Object.values(
    by(({ at }) => String(Math.floor(at / WINDOW_MS))),
  ).map(({ earned }) => earned).sort((left, right) => left - right);
  const worst = windows.slice(0, WORST_WINDOWS);
  const total = (count: (engine: (typeof engines)[number]) => number): number =>
    Math.round(engines.reduce((sum, item) => sum + count(item), 0) / 1_000);
  return {
    all: sumOf(outcomes),
    kinds: by(({ kind }) => kind),
    regions: by(({ region }) => region),
    worstWindows: worst.reduce((sum, part) => sum + part, 0) /
      Math.max(1, worst.length),
    readThousands: total(({ counts }) => counts.read),
    keptThousands: total(({ counts }) => counts.kept),
  };
}

function sumOf(outcomes: readonly LoadOutcome[]): LoadSum {
  const owed = outcomes.reduce((sum, { worth }) => sum + worth, 0);
  const earned = outcomes.reduce((sum, outcome) => sum + outcome.earned, 0);
  return {
    requests: outcomes.length,
    earned: owed === 0 ? 0 : earned / owed,
    ends: Object.fromEntries(
      ENDS.map((end) => [
        end,
        outcomes.filter((outcome) => outcome.end === end).length,
      ]),
    ) as Record<LoadEnd, number>,
    firstMedian: quantile(outcomes, 0.5),
    firstP95: quantile(outcomes, 0.95),
  };
}

function quantile(outcomes: readonly LoadOutcome[], part: number): number {
  const times = outcomes.flatMap(({ firstAfter }) => firstAfter ?? [])
    .sort((left, right) => left - right);
  return Math.round(times[Math.floor(part * times.length)] ?? 0);
}
