/**
 * Grace period for endpoint records that are missing after the platform was down or restored.
 *
 * @module
 */
import { after, type Instant, instant } from "../ids/index.ts";

/**
 * Endpoint records expire while the platform is down, and a restored copy lacks the newest ones. Endpoints write
 * their records again within two seconds of its return. Dropping missing records at once would leave no
 * endpoint to serve from.
 */
const MISSING_RECORD_GRACE_MS = 2_200;
/**
 * Longest grace period after a restore, from the last time at which the platform was known not to be restored
 * yet. The restore may be noticed seconds late, and without this limit an endpoint that was removed right
 * after it would be used for that much longer.
 */
const MAX_RESTORE_GRACE_MS = 3_200;

/** Tracks the end of the grace period. */
export class MissingRecordGrace {
  /** The latest time at which the platform is known not to have been restored yet. */
  #lastBeforeRestoreAt: Instant;
  /** When the last restore was noticed, `undefined` after an answer or another failure. */
  #restoreNoticedAt: Instant | undefined;
  #endsAt: Instant | undefined;

  constructor(now: Instant) {
    this.#lastBeforeRestoreAt = now;
  }

  /** Records an answer, which belongs to the epoch of the local catalogue. */
  noteAnswer(now: Instant): void {
    this.#lastBeforeRestoreAt = now;
    this.#restoreNoticedAt = undefined;
  }

  /**
   * Records a failure that shows the platform's state at that time. One from before a restore was noticed is
   * no sign of another outage.
   */
  noteFailure(at: Instant): void {
    if (this.#restoreNoticedAt === undefined || at > this.#restoreNoticedAt) {
      this.#lastBeforeRestoreAt = at;
      this.#restoreNoticedAt = undefined;
    }
  }

  /** Records the platform's first answer after an outage. */
  noteOutageEnd(now: Instant): void {
    this.#endsAt = this.#limited(after(now, MISSING_RECORD_GRACE_MS));
  }

  /** Records the first answer, or the first peer's copy, of a new epoch: the platform was restored. */
  noteRestore(now: Instant): void {
    this.#restoreNoticedAt = now;
    this.noteOutageEnd(now);
  }

  /** Returns until when a record that goes missing now is kept, `undefined` if it is dropped at once. */
  keptUntil(now: Instant): Instant | undefined {
    return this.#endsAt !== undefined && now < this.#endsAt
      ? this.#endsAt
      : undefined;
  }

  /** The same while the platform does not answer. */
  keptUntilDuringOutage(now: Instant): Instant | undefined {
    const until = this.#limited(after(now, MISSING_RECORD_GRACE_MS));
    return now < until ? until : undefined;
  }

  #limited(end: Instant): Instant {
    return this.#restoreNoticedAt === undefined ? end : instant(
      Math.min(end, after(this.#lastBeforeRestoreAt, MAX_RESTORE_GRACE_MS)),
    );
  }
}
