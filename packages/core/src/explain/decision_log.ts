/**
 * Keeps the decisions made for recent requests and their reasons, in bounded memory. Contains no customer
 * data.
 *
 * @module
 */
import type { Instant, RequestId } from "../ids/index.ts";

/** Number of requests whose decisions are kept. The oldest request is dropped first. */
export const MAX_EXPLAINED_REQUESTS = 512;
/** Number of decisions kept for one request. */
const MAX_STEPS_PER_REQUEST = 32;

/** A decision about a request, with the time since the first decision about it. */
export interface DecisionStep {
  readonly afterMs: number;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

interface RequestHistory {
  readonly since: Instant;
  readonly steps: DecisionStep[];
}

/** The decisions made for the most recent requests. */
export class DecisionLog {
  readonly #byRequest = new Map<RequestId, RequestHistory>();

  /** Records a decision. */
  record(
    request: RequestId,
    now: Instant,
    { text, ...fields }: { text: string; [field: string]: unknown },
  ): void {
    let history = this.#byRequest.get(request);
    if (history === undefined) {
      history = { since: now, steps: [] };
      this.#byRequest.set(request, history);
      this.#dropOldest();
    }
    if (history.steps.length < MAX_STEPS_PER_REQUEST) {
      history.steps.push({
        afterMs: Math.round(now - history.since),
        text,
        fields,
      });
    }
  }

  /**
   * Returns the decisions about a request in order, `undefined` if the request is not or no longer recorded.
   */
  find(request: RequestId): readonly DecisionStep[] | undefined {
    return this.#byRequest.get(request)?.steps;
  }

  #dropOldest(): void {
    if (this.#byRequest.size > MAX_EXPLAINED_REQUESTS) {
      this.#byRequest.delete(this.#byRequest.keys().next().value!);
    }
  }
}
