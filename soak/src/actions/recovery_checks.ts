/**
 * Checks that requests are served again after all entries were killed.
 *
 * @module
 */
import type { ObservedAnswer } from "./action_caller.ts";
import type { Violation } from "../promises.ts";

/** Time after the last start within which entries serve again. */
const MAX_RECOVERY_MS = 12_000;
/** At least one of this many requests is served. */
const MAX_REQUESTS_PER_SERVED = 4;
const OK = 200;

/** Finds out whether too few requests were served after the recovery, though enough were before the kills. */
export function findLackOfRecovery(
  answers: readonly ObservedAnswer[],
  { killedAt, startedAt }: { killedAt: number; startedAt: number },
): Violation[] {
  const before = answers.filter(({ endedAt }) => endedAt < killedAt);
  const after = answers.filter(({ askedAt }) =>
    askedAt > startedAt + MAX_RECOVERY_MS
  );
  const isFailed = servedOf(after) * MAX_REQUESTS_PER_SERVED < after.length;
  const wasServing = servedOf(before) * MAX_REQUESTS_PER_SERVED >=
    before.length;
  return wasServing && (isFailed || after.length === 0)
    ? [{
      call: "all",
      what: `served ${
        servedOf(after)
      } of ${after.length} after all entries were killed`,
    }]
    : [];
}

function servedOf(answers: readonly ObservedAnswer[]): number {
  return answers.filter(({ status, end }) => status === OK && end === "whole")
    .length;
}
