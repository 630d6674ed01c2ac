/**
 * Checks keys and limits of customers, at disturbed entries, too.
 *
 * @module
 */
import type { ObservedAnswer } from "./action_caller.ts";
import { KEY_LIFETIME_MS, LIMIT } from "./key_plan.ts";
import type { RunLedger } from "./run_ledger.ts";
import type { Violation } from "../promises.ts";

const DENIED_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);
const MS_PER_SECOND = 1_000;
/** At least one of this many requests within the limit runs. */
const MAX_ALLOWED_PER_RUN = 2;

/** What became of requests with keys. */
export interface ObservedKeys {
  readonly answers: readonly ObservedAnswer[];
  readonly ledger: RunLedger;
  /** When the store acknowledged the document without the removed key. */
  readonly removedAt: number;
  /** How often entries started, each with a bucket of its own until it hears of the others. */
  readonly starts: number;
}

/** Finds keys that opened what they should not, or did not open what they should, and a limit that did not hold. */
export function findKeyViolations(keys: ObservedKeys): Violation[] {
  return [
    ...keys.answers.flatMap((answer) =>
      findWrongDoor(answer, keys).map((what) => ({ call: answer.call, what }))
    ),
    ...findOverLimit(keys),
  ];
}

function findWrongDoor(
  { plan: { key }, call, status, askedAt, endedAt }: ObservedAnswer,
  { ledger, removedAt }: ObservedKeys,
): string[] {
  const hasRun = ledger.of(call).length > 0;
  const isDenied = DENIED_STATUSES.has(status);
  switch (key) {
    case "unknown":
      return hasRun ? ["ran with a key that nobody has"] : [];
    case "removed":
      return [
        ...hasRun && askedAt > removedAt + KEY_LIFETIME_MS
          ? [
            `ran ${Math.round(askedAt - removedAt)} ms after its key was taken`,
          ]
          : [],
        ...isDenied && endedAt < removedAt
          ? [`answered ${status} with a key in force`]
          : [],
      ];
    default:
      return isDenied ? [`answered ${status} with a key in force`] : [];
  }
}

function findOverLimit({ answers, ledger, starts }: ObservedKeys): Violation[] {
  const limited = answers.filter(({ plan }) => plan.key === "limited");
  const runs = limited.filter(({ call }) => ledger.of(call).length > 0).length;
  const first = Math.min(...limited.map(({ askedAt }) => askedAt));
  const last = Math.max(...limited.map(({ endedAt }) => endedAt));
  const steady = LIMIT.perSecond * (last - first) / MS_PER_SECOND;
  const allowed = steady + LIMIT.burst * starts;
  return runs > allowed || runs * MAX_ALLOWED_PER_RUN < steady
    ? [{
      call: "limited",
      what: `${runs} requests ran, ${Math.round(steady)} a steady limit, ${
        Math.round(allowed)
      } with bursts`,
    }]
    : [];
}
