/**
 * Checks what endpoints ran against what callers were told.
 *
 * @module
 */
import {
  entryOf,
  type ObservedAnswer,
  PROMISE_STATUSES,
} from "./action_caller.ts";
import { isStream, mustRunOnce, ROUTES } from "./action_plan.ts";
import { formatEvent, plainBody } from "./answer_bytes.ts";
import type { Run, RunLedger } from "./run_ledger.ts";
import type { Violation } from "../promises.ts";

const OK = 200;
/** Time after a caller's deadline within which it must have been told how its request ended. */
const MAX_END_DELAY_MS = 1_500;
/** A request that goes on at another endpoint while the one before works on for longer runs twice. */
const MAX_OVERLAP_MS = 400;
/** At least one of this many requests at entries that nothing disturbed is served. */
const MAX_REQUESTS_PER_SERVED = 2;

/** What a wave showed. */
export interface ObservedWave {
  readonly answers: readonly ObservedAnswer[];
  readonly ledger: RunLedger;
  /** Whether an entry, or a link of it, was disturbed in a span of time. */
  readonly isDisturbed: (entry: string, from: number, to: number) => boolean;
}

/** Finds all violations of a wave. */
export function findActionViolations(wave: ObservedWave): Violation[] {
  return [
    ...wave.answers.flatMap((answer) => findAnswerViolations(answer, wave)),
    ...findRepeatedActions(wave),
    ...findUnserved(wave),
  ];
}

function findAnswerViolations(
  answer: ObservedAnswer,
  { answers, ledger, isDisturbed }: ObservedWave,
): Violation[] {
  const { call, status, plan, askedAt, endedAt } = answer;
  const runs = ledger.of(call);
  const violations: string[] = [];
  const { attempts } = ROUTES[plan.route];
  const sends = answers.filter((other) => other.call === call);
  const maxRuns = mustRunOnce(plan.route) ? 1 : attempts * sends.length;
  const nextSentAt = Math.min(
    ...sends.map((send) => send.askedAt).filter((at) => at > askedAt),
  );
  if (runs.length > maxRuns) {
    violations.push(`ran ${runs.length} times for ${maxRuns}`);
  }
  const runsOfSend = runs.filter(({ startedAt }) => startedAt < nextSentAt);
  if (PROMISE_STATUSES.has(status) && runsOfSend.length > 0) {
    violations.push(`answered ${status} and ran`);
  }
  if (status >= OK && status < 300) {
    violations.push(...findBodyFaults(answer, runs));
  }
  violations.push(...findOverlaps(runs, isDisturbed));
  const lateBy = endedAt - askedAt - plan.timeMs;
  if (
    lateBy > MAX_END_DELAY_MS &&
    !isDisturbed(entryOf(answer), askedAt, endedAt)
  ) {
    violations.push(`ended ${Math.round(lateBy)} ms after its time`);
  }
  return violations.map((what) => ({ call, what: `${plan.route}: ${what}` }));
}

/** Compares a success with what the endpoints sent. */
function findBodyFaults(
  { call, plan, body, seal, echoedCall, end, after }: ObservedAnswer,
  runs: readonly Run[],
): string[] {
  const faults: string[] = [];
  if (seal !== `seal-${call}` || echoedCall !== call) {
    faults.push(`answered with the seal ${seal} and the id ${echoedCall}`);
  }
  if (runs.length === 0) {
    faults.push("answered with a success and did not run");
  }
  if (!isStream(plan.route)) {
    return end === "whole" && body !== plainBody(call)
      ? [...faults, `answered "${body.slice(0, 60)}"`]
      : faults;
  }
  const count = body.split("\n\n").length;
  const expected = Array.from(
    { length: count },
    (_, index) => formatEvent(after + index + 1),
  ).join("");
  return expected.startsWith(body)
    ? faults
    : [...faults, "events out of order"];
}

/** Finds runs that their entry lets go on while it sends the same request elsewhere. */
function findOverlaps(
  runs: readonly Run[],
  isDisturbed: ObservedWave["isDisturbed"],
): string[] {
  return runs.slice(1).flatMap((run, index) => {
    const before = runs[index]!;
    const overlapEnd = Math.min(
      before.endedAt ?? Infinity,
      before.closedAt ?? Infinity,
    );
    const overlap = overlapEnd - run.startedAt;
    const isExcused = isDisturbed(
      before.entry,
      before.startedAt,
      run.startedAt + MAX_OVERLAP_MS,
    );
    return overlap > MAX_OVERLAP_MS && !isExcused
      ? [`ran at two endpoints for ${Math.round(overlap)} ms`]
      : [];
  });
}

/** Finds actions that ran more than once over all requests of a caller that trusted what it was told. */
function findRepeatedActions({ answers, ledger }: ObservedWave): Violation[] {
  const calls = new Map<string, Set<string>>();
  for (const { plan, call } of answers) {
    if (mustRunOnce(plan.route)) {
      calls.set(plan.id, (calls.get(plan.id) ?? new Set()).add(call));
    }
  }
  return [...calls].flatMap(([id, sent]) => {
    const count = [...sent].flatMap((call) => ledger.of(call)).length;
    return count > 1
      ? [{ call: id, what: `ran ${count} times over its caller's requests` }]
      : [];
  });
}

/**
 * Reports a wave that serves too few requests: one that refuses everything would break no other guarantee. Counted are
 * those of callers that wait, at entries that nothing disturbed; their endpoints may fail.
 */
function findUnserved({ answers, isDisturbed }: ObservedWave): Violation[] {
  const firstSends = new Map<string, ObservedAnswer>();
  for (const answer of answers) {
    if (answer.call === answer.plan.id && !firstSends.has(answer.call)) {
      firstSends.set(answer.call, answer);
    }
  }
  const counted = [...firstSends.values()].filter((
    { plan, entry, askedAt, endedAt },
  ) =>
    plan.leavesAfterMs === undefined &&
    (plan.key === undefined || plan.key === "kept") &&
    !isDisturbed(`entry-${entry + 1}`, askedAt, endedAt)
  );
  const served = counted.filter(({ status, end }) =>
    status === OK && end === "whole"
  );
  return served.length * MAX_REQUESTS_PER_SERVED < counted.length
    ? [{ call: "all", what: `served ${served.length} of ${counted.length}` }]
    : [];
}
