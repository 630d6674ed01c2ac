/**
 * What callers and engines must have seen of a wave, whatever happened.
 *
 * @module
 */
import {
  eventsOf,
  faultOf,
  type RawRequest,
  type SeenAnswer,
} from "@sassafrasstep/playground/bytes";
import { ATTEMPTS, type CasePlan, type WavePlan } from "./plan.ts";
import { looksWhole } from "./script.ts";

/** One request of a caller, and what became of it. */
export interface SeenCall {
  readonly plan: CasePlan;
  readonly call: string;
  /** Last event that the caller had when it asked. */
  readonly after: number;
  readonly answer: SeenAnswer;
  /** Where it was asked. */
  readonly address: string;
  readonly askedAt: number;
  readonly endedAt: number;
  readonly runs: readonly RawRequest[];
}

/** What was done to the entries of a wave, by their addresses for callers. */
export interface EntryHistory {
  readonly killed: Set<string>;
  /** When each paused entry went on. */
  readonly wentOnAt: Map<string, number>;
}

/** A promise that was not kept. */
export interface Broken {
  readonly call: string;
  readonly what: string;
}

const OK = 200;
/** Statuses that say that the request did not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Between the timeout and the end that a caller sees. */
const LATE_END_MS = 1_500;
/** One of so many undisturbed streams has to end whole, at the least. */
const LEAST_SERVED_PART = 2;
/** An entry may have sent a request on before it hears that its caller is gone. */
const LATE_RUN_MS = 500;

/** The first promise that a request's end breaks. */
export function brokenPromise(
  seen: SeenCall,
  { kind, history }: Pick<WavePlan, "kind"> & {
    history: Readonly<EntryHistory>;
  },
): string | undefined {
  return bodyFault(seen, history) ?? endFault(seen, history) ??
    runsFault(seen) ??
    (onlyPaused(seen, kind) ? stallFault(seen) : undefined);
}

function bodyFault(
  { plan, call, after, answer, address }: SeenCall,
  { killed }: Readonly<EntryHistory>,
): string | undefined {
  if (answer.status !== OK) {
    return undefined;
  }
  const { style, events } = plan;
  const whole = eventsOf(call, { count: events, after, style });
  const fault = faultOf(answer, { whole, style });
  // A body without framing that is closed in order after an event can't be told from a whole one. This
  // exact case alone is left out.
  const untold = answer.end === "whole" && whole.startsWith(answer.body) &&
    plan.runs.some((run) => looksWhole(answer.body, run, style));
  // Of what a process wrote the system may have taken a part only, as its caller didn't read, when the
  // process was killed. Such an answer may end anywhere, but it is told as broken.
  const cut = killed.has(address) && style.padding !== undefined &&
    answer.end === "broken" && whole.startsWith(answer.body);
  return untold || cut ? undefined : fault;
}

/** A process that is paused, or a caller that doesn't read, can't hear of the end before it goes on. */
function endFault(
  { plan, answer, address, askedAt, endedAt }: SeenCall,
  { wentOnAt }: Readonly<EntryHistory>,
): string | undefined {
  const held = plan.caller.kind === "slow" ? plan.caller.holdMs : 0;
  const due = Math.max(
    askedAt + plan.timeMs,
    wentOnAt.get(address) ?? 0,
  ) + held + LATE_END_MS;
  return answer.end === "open" || endedAt > due
    ? `ended ${
      Math.round(endedAt - askedAt)
    } ms after it was asked for ${plan.timeMs}`
    : undefined;
}

function runsFault(
  { plan, answer, runs, endedAt }: SeenCall,
): string | undefined {
  const most = plan.path === "resume" ? ATTEMPTS : 1;
  if (runs.length > most) {
    return `ran ${runs.length} times for ${most}`;
  }
  if (NOT_RUN.has(answer.status) && runs.length > 0) {
    return `answered ${answer.status} and ran`;
  }
  return runs.some(({ at }) => at > endedAt + LATE_RUN_MS)
    ? "ran after its end"
    : undefined;
}

/** Whether nothing happened to a stream but pauses, of ours or of its caller. */
function onlyPaused({ plan }: SeenCall, kind: WavePlan["kind"]): boolean {
  return kind === "stalls" || kind === "pauses" ||
    (kind === "slow" && plan.runs.length === 1);
}

function stallFault({ answer, runs }: SeenCall): string | undefined {
  if (runs.length > 1) {
    return `ran ${runs.length} times because of a pause`;
  }
  const answered = answer.status === OK && answer.end === "whole";
  return answered || NOT_RUN.has(answer.status)
    ? undefined
    : `ended ${answer.end} with status ${answer.status} because of a pause`;
}

/**
 * Whether hardly any of the streams that nothing disturbs is served: where every stream breaks visibly, each
 * of them by itself keeps its promises.
 */
export function unservedWave(
  seen: readonly SeenCall[],
  kind: WavePlan["kind"],
): Broken | undefined {
  const undisturbed = seen.filter(({ plan: { caller, runs } }) =>
    caller.kind === "reads" && runs[0]!.stop === "whole" &&
    (runs[0]!.status ?? OK) === OK
  );
  const whole =
    undisturbed.filter(({ answer }) =>
      answer.status === OK && answer.end === "whole"
    ).length;
  const few = whole * LEAST_SERVED_PART < undisturbed.length;
  const endsEntries = kind === "ends" || kind === "terms" ||
    kind === "restores";
  return !endsEntries && undisturbed.length > 0 && few
    ? {
      call: undisturbed[0]!.call,
      what: `${whole} of ${undisturbed.length} undisturbed streams ended whole`,
    }
    : undefined;
}
