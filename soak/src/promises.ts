/**
 * Checks the guarantees that hold for every call, whatever faults a wave plays. Reports call them promises.
 *
 * @module
 */
import {
  eventsOf,
  faultOf,
  type RawRequest,
  type SeenAnswer,
} from "@sassafrasstep/playground/bytes";
import { type CasePlan, MAX_ATTEMPTS, type WavePlan } from "./plan.ts";
import { isIndistinguishableFromWhole } from "./script.ts";

/** One run of a call, with the software version of its engine. */
export interface ObservedRun extends RawRequest {
  readonly version: string;
}

/** One request of a caller, its answer and its runs. */
export interface ObservedCall {
  readonly plan: CasePlan;
  readonly call: string;
  /** Id of the last event that the caller had when it sent the request. */
  readonly after: number;
  readonly answer: SeenAnswer;
  /** Address of the entry that received the request. */
  readonly address: string;
  readonly askedAt: number;
  readonly endedAt: number;
  readonly runs: readonly ObservedRun[];
}

/** Kills and pauses of the entries of a wave, keyed by the address that serves callers. */
export interface EntryHistory {
  readonly killed: Set<string>;
  /** When each paused entry resumed. */
  readonly resumedAt: Map<string, number>;
}

/** A violated guarantee: the call or engine, and a description for the report. */
export interface Violation {
  readonly call: string;
  readonly what: string;
}

const OK = 200;
/** Statuses that state that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Longest time between a caller's deadline and the end of the answer that it observes. */
const MAX_END_DELAY_MS = 1_500;
/** At least one of this many undisturbed streams must be completed. */
const MAX_STREAMS_PER_SERVED = 2;
/** An entry may have forwarded a request before it learns that the caller has disconnected. */
const MAX_RUN_DELAY_MS = 500;

/** Returns the first violation of a call, `undefined` if there is none. */
export function findViolation(
  observedCall: ObservedCall,
  { kind, history }: Pick<WavePlan, "kind"> & {
    history: Readonly<EntryHistory>;
  },
): string | undefined {
  return findBodyViolation(observedCall, history) ??
    findEndViolation(observedCall, history) ??
    findRunViolation(observedCall) ??
    (isOnlyPaused(observedCall, kind)
      ? findPauseViolation(observedCall)
      : undefined);
}

function findBodyViolation(
  { plan, call, after, answer, address }: ObservedCall,
  { killed }: Readonly<EntryHistory>,
): string | undefined {
  if (answer.status !== OK) {
    return undefined;
  }
  const { style, events } = plan;
  const expectedBody = eventsOf(call, { count: events, after, style });
  const fault = faultOf(answer, { whole: expectedBody, style });
  // Without framing, a body whose connection is closed in order after a complete event cannot be
  // distinguished from a complete one. Only exactly this case is exempt.
  const indistinguishable = answer.end === "whole" &&
    expectedBody.startsWith(answer.body) &&
    plan.runs.some((run) =>
      isIndistinguishableFromWhole(answer.body, run, style)
    );
  // If an entry is killed while its caller is not reading, the operating system may have accepted only a part
  // of what the entry wrote. Such an answer may end anywhere, but the caller must see it as broken.
  const truncatedByKill = killed.has(address) && style.padding !== undefined &&
    answer.end === "broken" && expectedBody.startsWith(answer.body);
  return indistinguishable || truncatedByKill ? undefined : fault;
}

/** Allows for paused entries and callers that are not reading: both notice an end only after they resume. */
function findEndViolation(
  { plan, answer, address, askedAt, endedAt }: ObservedCall,
  { resumedAt }: Readonly<EntryHistory>,
): string | undefined {
  const holdMs = plan.caller.kind === "slow" ? plan.caller.holdMs : 0;
  const latestEndAt = Math.max(
    askedAt + plan.timeMs,
    resumedAt.get(address) ?? 0,
  ) + holdMs + MAX_END_DELAY_MS;
  return answer.end === "open" || endedAt > latestEndAt
    ? `ended ${
      Math.round(endedAt - askedAt)
    } ms after it was asked for ${plan.timeMs}`
    : undefined;
}

function findRunViolation(
  { plan, answer, runs, endedAt }: ObservedCall,
): string | undefined {
  const maxRuns = plan.path === "resume" ? MAX_ATTEMPTS : 1;
  if (runs.length > maxRuns) {
    return `ran ${runs.length} times for ${maxRuns}`;
  }
  if (NOT_RUN_STATUSES.has(answer.status) && runs.length > 0) {
    return `answered ${answer.status} and ran`;
  }
  return runs.some(({ at }) => at > endedAt + MAX_RUN_DELAY_MS)
    ? "ran after its end"
    : undefined;
}

/** Whether pauses of processes or of the caller were the only disturbances of a stream. */
function isOnlyPaused({ plan }: ObservedCall, kind: WavePlan["kind"]): boolean {
  return kind === "stalls" || kind === "pauses" ||
    (kind === "slow" && plan.runs.length === 1);
}

function findPauseViolation(
  { answer, runs }: ObservedCall,
): string | undefined {
  if (runs.length > 1) {
    return `ran ${runs.length} times because of a pause`;
  }
  const answered = answer.status === OK && answer.end === "whole";
  return answered || NOT_RUN_STATUSES.has(answer.status)
    ? undefined
    : `ended ${answer.end} with status ${answer.status} because of a pause`;
}

/**
 * Finds streams that were continued by an engine of another software version, within an answer or over the requests of
 * their callers. The run before the first continuation is the one that brought the first events.
 */
export function findVersionViolations(
  calls: readonly ObservedCall[],
): Violation[] {
  const runsByCase = new Map<string, ObservedRun[]>();
  for (const { plan, runs } of calls) {
    const known = runsByCase.get(plan.call) ?? [];
    runsByCase.set(plan.call, [...known, ...runs]);
  }
  return [...runsByCase].flatMap(([call, unordered]) => {
    const runs = unordered.toSorted((left, right) => left.at - right.at);
    const first = runs.findIndex(({ after }) => after > 0);
    const joined = first < 0 ? [] : runs.slice(Math.max(0, first - 1));
    const versions = new Set(joined.map(({ version }) => version));
    return versions.size > 1
      ? [{ call, what: `has events of ${[...versions].join(" and ")}` }]
      : [];
  });
}

/**
 * Reports a wave that completes too few of its undisturbed streams. Without this check, a gateway that visibly
 * breaks every stream would pass, because each call by itself violates no guarantee.
 */
export function findUnservedWave(
  calls: readonly ObservedCall[],
  kind: WavePlan["kind"],
): Violation | undefined {
  const undisturbed = calls.filter(({ plan: { caller, runs } }) =>
    caller.kind === "reads" && runs[0]!.stop === "whole" &&
    (runs[0]!.status ?? OK) === OK
  );
  const servedCount =
    undisturbed.filter(({ answer }) =>
      answer.status === OK && answer.end === "whole"
    ).length;
  const tooFew = servedCount * MAX_STREAMS_PER_SERVED < undisturbed.length;
  const terminatesEntries = kind === "ends" || kind === "terms" ||
    kind === "restores" || kind === "retries";
  return !terminatesEntries && undisturbed.length > 0 && tooFew
    ? {
      call: undisturbed[0]!.call,
      what:
        `${servedCount} of ${undisturbed.length} undisturbed streams ended whole`,
    }
    : undefined;
}
