/**
 * Verdicts state whether a request may have run. Every outcome carries a verdict, and verdicts are derived
 * only from the log of attempts.
 *
 * @module
 */
import type { AttemptId } from "../ids/index.ts";

/**
 * Whether a request ran, as far as is known.
 * On `may_have_run`, `settled` means that nothing more can be found out; otherwise a retry with the same
 * idempotency key may return the outcome.
 */
export type Verdict =
  | { readonly kind: "not_run" }
  | { readonly kind: "ran" }
  | { readonly kind: "may_have_run"; readonly settled: boolean };

/** The request did not run and will not. */
export const NOT_RUN: Verdict = { kind: "not_run" };
/** The request ran and its answer is known. */
export const RAN: Verdict = { kind: "ran" };
/** The request may have run, and a retry may find out. */
export const MAY_HAVE_RUN_OPEN: Verdict = {
  kind: "may_have_run",
  settled: false,
};
/** The request may have run, and nothing more can be found out. */
export const MAY_HAVE_RUN_SETTLED: Verdict = {
  kind: "may_have_run",
  settled: true,
};

/**
 * State of one attempt.
 * - `prepared`: planned, nothing passed to the network yet.
 * - `unsent`: ended before any byte was passed to the network (connection refused, withdrawn).
 * - `sent`: bytes may have been sent; the outcome is not known yet.
 * - `refused`: the receiver stated, as its contract allows, that the request did not run.
 * - `completed`: a complete answer was received.
 * - `lost`: bytes were sent and no trustworthy answer was received.
 */
export type AttemptState =
  | "prepared"
  | "unsent"
  | "sent"
  | "refused"
  | "completed"
  | "lost";

/** The attempts of one request, in order. */
export class AttemptLog {
  readonly #states = new Map<AttemptId, AttemptState>();

  /** Adds an attempt or updates its state. Final states never change. */
  record(attempt: AttemptId, state: AttemptState): void {
    const known = this.#states.get(attempt);
    if (known !== undefined && isFinal(known)) {
      return;
    }
    this.#states.set(attempt, state);
  }

  /** State of an attempt, `undefined` if it was not recorded. */
  stateOf(attempt: AttemptId): AttemptState | undefined {
    return this.#states.get(attempt);
  }

  /** Number of recorded attempts. */
  get size(): number {
    return this.#states.size;
  }

  /**
   * Derives the verdict from the attempts.
   * A single attempt with an unknown outcome makes the verdict `may_have_run` unless another one completed: a
   * later refusal proves nothing about an earlier attempt that may have run.
   */
  verdict(): Verdict {
    const states = [...this.#states.values()];
    if (states.includes("completed")) {
      return RAN;
    }
    const uncertain = states.some((state) =>
      state === "sent" || state === "lost"
    );
    return uncertain ? MAY_HAVE_RUN_OPEN : NOT_RUN;
  }
}

function isFinal(state: AttemptState): boolean {
  return state === "unsent" || state === "refused" || state === "completed" ||
    state === "lost";
}

/** Formats a verdict for the response header. */
export function formatVerdictHeader(verdict: Verdict): string {
  if (verdict.kind !== "may_have_run") {
    return verdict.kind;
  }
  return verdict.settled ? "may_have_run; settled" : "may_have_run; open";
}

/** Parses a peer's verdict header. A missing or unknown value proves nothing, so it means `may_have_run`. */
export function parseVerdictHeader(text: string | undefined): Verdict {
  if (text === "not_run") {
    return NOT_RUN;
  }
  if (text === "ran") {
    return RAN;
  }
  return text === "may_have_run; settled"
    ? MAY_HAVE_RUN_SETTLED
    : MAY_HAVE_RUN_OPEN;
}
