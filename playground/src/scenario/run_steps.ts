/**
 * Runs the steps of a script in virtual time.
 *
 * @module
 */
import type { TimedLine } from "./script.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** How the steps of a script language are run. */
export interface RunStepsOptions {
  readonly time: VirtualTime;
  /** Virtual time of the steps' time 0, in milliseconds. */
  readonly startAt: number;
  readonly act: (step: TimedLine) => void;
  /** Checks an expectation; returns a description of the failure, or `undefined` if it holds. */
  readonly check: (step: TimedLine) => string | undefined;
}

/** Runs steps in order; returns the failures of their expectations. */
export function runSteps(
  steps: readonly TimedLine[],
  { time, startAt, act, check }: RunStepsOptions,
): string[] {
  const failures: string[] = [];
  for (const step of steps) {
    time.runUntil(startAt + step.at);
    if (step.words[0] === "expect") {
      const failure = check(step);
      failure === undefined || failures.push(failure);
    } else {
      act(step);
    }
  }
  return failures;
}
