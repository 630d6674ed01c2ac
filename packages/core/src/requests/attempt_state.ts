/**
 * Determines from the end of an attempt whether the request ran.
 *
 * @module
 */
import type { AttemptEnd } from "../messages/index.ts";
import type { Service } from "../text/index.ts";
import type { AttemptState, Verdict } from "../verdict/index.ts";

const FIRST_SERVER_ERROR_STATUS = 500;
/** By their contract, engines answer with these statuses only before any work was done. */
const ENGINE_NOT_RUN_STATUSES: readonly number[] = [429, 503];

/**
 * Returns the final state of an attempt. It is `lost` if nothing proves that the request ran or did not run.
 *
 * For an answer that has begun, an attempt requests only the rest of the stream. An answer that is not a
 * stream is then not an answer to the whole request. If it were accepted, the caller's stream would end in
 * the middle and count as complete.
 */
export function attemptStateOf(
  service: Service,
  end: AttemptEnd,
  { streamStarted }: { streamStarted: boolean },
): AttemptState {
  switch (end.kind) {
    case "unsent":
      return "unsent";
    case "lost":
      return "lost";
    case "streamed":
      return "completed";
    case "answered": {
      const state = stateOfAnswer(service, {
        status: end.answer.status,
        verdict: end.verdict,
      });
      return streamStarted && state === "completed" ? "lost" : state;
    }
    case "oversize":
      return stateOfAnswer(service, end);
  }
}

function stateOfAnswer(
  service: Service,
  { status, verdict }: {
    readonly status: number;
    readonly verdict?: Verdict | undefined;
  },
): AttemptState {
  if (verdict !== undefined) {
    const states = {
      ran: "completed",
      not_run: "refused",
      may_have_run: "lost",
    } as const;
    return states[verdict.kind];
  }
  const notRun = service.kind === "plain"
    ? service.notRunStatuses
    : ENGINE_NOT_RUN_STATUSES;
  if (notRun.includes(status)) {
    return "refused";
  }
  // A server error that is not declared as `not_run` does not tell whether the call took effect.
  return status >= FIRST_SERVER_ERROR_STATUS ? "lost" : "completed";
}
