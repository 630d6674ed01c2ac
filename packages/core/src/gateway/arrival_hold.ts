/**
 * Requests that arrive before the published picture is read: in the first moments of a process, and at an
 * entry that stood by and read it seldom.
 *
 * @module
 */
import { after, type Instant, type RequestId } from "../ids/index.ts";
import type { CallHead } from "./messages.ts";

/** A caller that names no time is held for so long at the most. */
const MOST_HOLD_MS = 1_000;
/** Part of a caller's time that it is held for at the most. */
const HOLD_PART = 0.25;

/** One request that is held. */
export interface HeldCall {
  readonly head: CallHead;
  readonly arrivedAt: Instant;
  /** From then on it is refused. */
  readonly until: Instant;
}

/**
 * Holds requests until the first read of the picture ends.
 *
 * A started entry listens some milliseconds before it has read the picture, a third of a second where
 * the platform is a region away. Callers that are refused then come back once, to the next entry that
 * has just started, and are refused for good: after a restart of all entries a tenth of the requests of
 * two seconds were. One notices by refusals for want of a document right after "Listening". Only the
 * first read is waited for: once it has failed nobody knows when the picture comes.
 */
export class ArrivalHold {
  readonly #held = new Map<RequestId, HeldCall>();

  get size(): number {
    return this.#held.size;
  }

  add(head: CallHead, now: Instant): void {
    this.keep(heldFrom(head, now));
  }

  /** Holds what was held before, no longer than it would have been. */
  keep(held: HeldCall): void {
    this.#held.set(held.head.id, held);
  }

  /** The caller has left; whether it was held. */
  remove(id: RequestId): boolean {
    return this.#held.delete(id);
  }

  /** All, in order of arrival; none is held any more. */
  takeAll(): HeldCall[] {
    const all = [...this.#held.values()];
    this.#held.clear();
    return all;
  }

  /** Those that have been held for long enough. */
  takeOverdue(now: Instant): HeldCall[] {
    const overdue = [...this.#held.values()].filter(({ until }) =>
      now >= until
    );
    overdue.forEach(({ head }) => this.#held.delete(head.id));
    return overdue;
  }
}

/** A request that arrives now. */
export function heldFrom(head: CallHead, now: Instant): HeldCall {
  const time = Math.min(
    MOST_HOLD_MS,
    (head.timeLeft ?? Infinity) * HOLD_PART,
  );
  return { head, arrivedAt: now, until: after(now, time) };
}
