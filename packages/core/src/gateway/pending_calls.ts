/**
 * Requests that wait because they cannot be judged yet: the catalogue has not been read since the process
 * started, or the copy of an entry on standby, which reads it seldom, is too old.
 *
 * @module
 */
import { after, type Instant, type RequestId } from "../ids/index.ts";
import type { CallHead } from "./messages.ts";

/** Longest time for which a request is held, with or without a timeout from its caller. */
const MAX_HOLD_MS = 1_000;
/** Largest fraction of a caller's timeout for which its request is held. */
const MAX_HOLD_FRACTION = 0.25;

/** A request that waits for a decision. */
export interface PendingCall {
  readonly head: CallHead;
  readonly arrivedAt: Instant;
  /** Time at which the hold ends at the latest. */
  readonly until: Instant;
}

/**
 * Requests that wait until the data needed to check them has arrived, such as the first read of the catalogue.
 *
 * A new entry accepts connections some milliseconds before it has read the catalogue, a third of a second
 * where the platform is in another region. A caller that is refused in this time retries once, reaches another
 * entry that has just started, and fails for good: without the hold, a restart of all entries refused a tenth
 * of the requests of two seconds, with the reason `no_document` right after the log line "Listening.". Only
 * the first read is waited for: once it has failed, nobody knows when the catalogue will be available.
 */
export class PendingCalls {
  readonly #calls = new Map<RequestId, PendingCall>();

  get size(): number {
    return this.#calls.size;
  }

  add(head: CallHead, now: Instant): void {
    this.put(createPendingCall(head, now));
  }

  /** Adds a request without changing the time at which its hold ends. */
  put(pending: PendingCall): void {
    this.#calls.set(pending.head.id, pending);
  }

  /** Removes the request of a caller that left. Returns whether it was here. */
  remove(id: RequestId): boolean {
    return this.#calls.delete(id);
  }

  /** Removes and returns all requests, in order of arrival. */
  takeAll(): PendingCall[] {
    const all = [...this.#calls.values()];
    this.#calls.clear();
    return all;
  }

  /** Removes and returns the requests whose time has expired. */
  takeExpired(now: Instant): PendingCall[] {
    const expired = [...this.#calls.values()].filter(({ until }) =>
      now >= until
    );
    expired.forEach(({ head }) => this.#calls.delete(head.id));
    return expired;
  }
}

/** Creates the record of a request that arrives now, with the time until which it may be held. */
export function createPendingCall(head: CallHead, now: Instant): PendingCall {
  const maxHoldMs = Math.min(
    MAX_HOLD_MS,
    (head.timeLeft ?? Infinity) * MAX_HOLD_FRACTION,
  );
  return { head, arrivedAt: now, until: after(now, maxHoldMs) };
}
