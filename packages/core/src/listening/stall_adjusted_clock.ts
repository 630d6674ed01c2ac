/**
 * Elapsed time without the stalls of this process, for timeouts on silence.
 *
 * @module
 */
import {
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";

/** Without a stall the event loop turns at least this often; the excess of a longer gap counts as a stall. */
const MAX_NORMAL_GAP_MS = 350;
/** Stalls are forgotten after this time. Silence that began earlier is not evaluated. */
const STALL_RETENTION_MS = 120_000;

/** Read access, for code that evaluates silence. */
export type StallAdjustedClockView = Pick<StallAdjustedClock, "since">;

interface Stall {
  /** When the process resumed. */
  readonly endedAt: Instant;
  readonly duration: number;
}

/**
 * Measures elapsed time without the stalls of this process.
 *
 * While a process is stopped, its event loop is blocked or its machine is busy, it reads nothing, and
 * messages queue up in its sockets. By the plain clock, every peer and endpoint would then seem silent when
 * the process resumes, and every stream would be sent to a second endpoint. Timeouts that declare something
 * silent or dead therefore count only time in which the process could read. The age of read data, leases and
 * callers' deadlines use the plain clock.
 */
export class StallAdjustedClock {
  #lastTurnAt: Instant;
  /** Recent stalls, oldest first. */
  readonly #stalls: Stall[] = [];

  constructor(now: Instant) {
    this.#lastTurnAt = now;
  }

  /** Records a turn of the event loop and returns the time since the previous one. */
  recordTurn(now: Instant): Milliseconds {
    const gap = now - this.#lastTurnAt;
    this.#lastTurnAt = now;
    if (gap > MAX_NORMAL_GAP_MS) {
      this.#stalls.push({ endedAt: now, duration: gap - MAX_NORMAL_GAP_MS });
      this.#removeEndedBefore(instant(now - STALL_RETENTION_MS));
    }
    return milliseconds(gap);
  }

  /** Time since an instant, without stalls. */
  since(from: Instant, now: Instant): Milliseconds {
    let elapsed = now - from;
    for (let index = this.#stalls.length - 1; index >= 0; index--) {
      const { endedAt, duration } = this.#stalls[index]!;
      if (endedAt <= from) {
        break;
      }
      elapsed -= duration;
    }
    return milliseconds(Math.max(0, elapsed));
  }

  #removeEndedBefore(before: Instant): void {
    while (this.#stalls[0]!.endedAt < before) {
      this.#stalls.shift();
    }
  }
}
