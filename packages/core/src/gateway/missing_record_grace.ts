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
  #lastBeforeRestoreAt: Instant;
  #endsAt: Instant | undefined;

  constructor(now: Instant) {
    this.#lastBeforeRestoreAt = now;
  }

  /** Records that the platform had not been restored at that time, according to an answer or a failure. */
  noteNotRestored(at: Instant): void {
    this.#lastBeforeRestoreAt = at;
  }

  /** Records the platform's first answer after an outage. */
  noteOutageEnd(now: Instant): void {
    this.#endsAt = after(now, MISSING_RECORD_GRACE_MS);
  }

  /** Records the first answer of a new epoch, which means that the platform was restored. */
  noteRestore(now: Instant): void {
    this.#endsAt = instant(
      Math.min(
        after(now, MISSING_RECORD_GRACE_MS),
        after(this.#lastBeforeRestoreAt, MAX_RESTORE_GRACE_MS),
      ),
    );
  }

  /** Returns until when a record that goes missing now is kept, `undefined` if it is dropped at once. */
  keptUntil(now: Instant): Instant | undefined {
    return this.#endsAt !== undefined && now < this.#endsAt
      ? this.#endsAt
      : undefined;
  }

  /** Returns until when a record that goes missing now is kept while the platform does not answer. */
  keptUntilDuringOutage(now: Instant): Instant {
    return after(now, MISSING_RECORD_GRACE_MS);
  }
}
