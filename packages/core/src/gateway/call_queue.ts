/**
 * Requests that wait for a place, in the order in which they get one.
 *
 * @module
 */
import type { Instant, RequestId } from "../ids/index.ts";
import type { Call } from "./call.ts";

/** Keeps waiting requests. */
export class CallQueue {
  readonly #calls = new Map<RequestId, Call>();

  get size(): number {
    return this.#calls.size;
  }

  add(call: Call): void {
    this.#calls.set(call.head.id, call);
  }

  remove(call: Call): void {
    this.#calls.delete(call.head.id);
  }

  /**
   * Prompt tokens that wait and get a place before one of a rank. Counted with all that waits, urgent
   * requests were refused for a queue that they never stand in.
   */
  tokensAhead(priority: number): number {
    let tokens = 0;
    for (const { head } of this.#calls.values()) {
      tokens += head.prompt?.promptTokens ?? 0;
    }
    return tokens;
  }

  /**
   * Requests that can still be on time first, by rank and arrival. Under overload a queue in order of
   * arrival makes every request late; so the ones that are late already get what the others leave.
   */
  ordered(now: Instant): Call[] {
    return [...this.#calls.values()].sort((left, right) =>
      Number(left.isLate(now)) - Number(right.isLate(now)) ||
      left.route.priority - right.route.priority ||
      left.arrivedAt - right.arrivedAt
    );
  }
}
