/**
 * The steps of a script, played under virtual time.
 *
 * @module
 */
import type { TimedLine } from "./script.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** How a language plays its steps. */
export interface StepPlay {
  readonly time: VirtualTime;
  /** Virtual time of the steps' own zero, in milliseconds. */
  readonly startAt: number;
  readonly act: (step: TimedLine) => void;
  /** What an expectation finds wrong, `undefined` for nothing. */
  readonly check: (step: TimedLine) => string | undefined;
}

/** Plays steps in their order; what expectations found wrong. */
export function runSteps(
  steps: readonly TimedLine[],
  { time, startAt, act, check }: StepPlay,
): string[] {
  const failures: string[] = [];
  for (const step of steps) {
    time.runUntil(startAt + step.at);
    if (step.words[0] === "expect") {
      const wrong = check(step);
      wrong === undefined || failures.push(wrong);
    } else {
      act(step);
    }
  }
  return failures;
}
