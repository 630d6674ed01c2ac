/**
 * What the end of an attempt proves.
 *
 * @module
 */
import type { AttemptEnd } from "../messages/index.ts";
import type { Service } from "../text/index.ts";
import type { AttemptState, Verdict } from "../verdict/index.ts";

const FIRST_SERVER_ERROR = 500;
/** By the engines' contract, these statuses come before any work was done. */
const ENGINE_NOT_RUN_STATUSES: readonly number[] = [429, 503];

/**
 * The final state of an attempt. Whatever is not proved is `lost`.
 *
 * Of an answer that has begun only the rest is asked for, as a stream. Whatever else is said then is no
 * answer to the request: taken for one, the caller's stream would end in the middle and count as served.
 */
export function judgeEnd(
  service: Service,
  end: AttemptEnd,
  { begun }: { begun: boolean },
): AttemptState {
  switch (end.kind) {
    case "unsent":
      return "unsent";
    case "lost":
      return "lost";
    case "streamed":
      return "completed";
    case "answered": {
      const state = judgeAnswer(service, {
        status: end.answer.status,
        verdict: end.verdict,
      });
      return begun && state === "completed" ? "lost" : state;
    }
    case "oversize":
      return judgeAnswer(service, end);
  }
}

function judgeAnswer(
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
  // An undeclared server error says nothing about whether the call took effect.
  return status >= FIRST_SERVER_ERROR ? "lost" : "completed";
}
