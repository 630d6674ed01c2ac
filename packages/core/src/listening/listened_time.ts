/**
 * Time during which this process could have heard something.
 *
 * @module
 */
import {
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";

/** The loop turns at least this often where nothing holds it up; more of a gap is absence. */
const MOST_GAP_MS = 350;
/** Nothing is judged by a silence that began longer ago. */
const MEMORY_MS = 120_000;

/** What judges by silence sees of it. */
export type ListenedTimeView = Pick<ListenedTime, "since">;

interface Absence {
  /** When the process went on. */
  readonly endedAt: Instant;
  readonly time: number;
}

/**
 * A process that is stopped, whose loop is blocked or whose machine is busy hears nothing, while what
 * others say gathers in its sockets. Judged by a clock that runs on meanwhile, all that it knows has
 * fallen silent at the moment at which it goes on: every stream is sent to a second endpoint. So whoever
 * is to be taken for silent or dead has to be so for a time of listening. Ages of what was read, leases
 * and callers' deadlines go by the clock.
 */
export class ListenedTime {
  #lastAt: Instant;
  /** Oldest first; none as long as the loop turns. */
  readonly #absences: Absence[] = [];

  constructor(now: Instant) {
    this.#lastAt = now;
  }

  /** The loop turns. Returns the time since it last did. */
  note(now: Instant): Milliseconds {
    const gap = now - this.#lastAt;
    this.#lastAt = now;
    if (gap > MOST_GAP_MS) {
      this.#absences.push({ endedAt: now, time: gap - MOST_GAP_MS });
      this.#forget(instant(now - MEMORY_MS));
    }
    return milliseconds(gap);
  }

  /** How much of the time since an instant the process listened. */
  since(from: Instant, now: Instant): Milliseconds {
    let listened = now - from;
    for (let index = this.#absences.length - 1; index >= 0; index--) {
      const { endedAt, time } = this.#absences[index]!;
      if (endedAt <= from) {
        break;
      }
      listened -= time;
    }
    return milliseconds(Math.max(0, listened));
  }

  #forget(before: Instant): void {
    while (this.#absences[0]!.endedAt < before) {
      this.#absences.shift();
    }
  }
}
