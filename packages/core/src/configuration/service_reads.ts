/**
 * Schedules an entry's reads and watches of the configuration service.
 *
 * @module
 */
import type { Blackboard } from "../blackboard/index.ts";
import {
  after,
  type Instant,
  type Milliseconds,
  type Randomness,
} from "../ids/index.ts";
import {
  FALLBACK_READ_PERIOD_MS,
  INITIAL_READ_PERIOD_MS,
  MIN_WATCH_INTERVAL_MS,
  OUTDATED_READ_PERIOD_MS,
  READ_RETRY_DELAY_MS,
  REJECTED_READ_SPREAD_MS,
} from "./configuration_section.ts";
import { RESTORE_CONFIRMATION_MS } from "./restore_detector.ts";
import {
  isWatcher,
  liveZoneMembers,
  watchInterval,
} from "./watcher_election.ts";

/** Decides when the configuration service is read, and when it is watched. */
export class ServiceReads {
  readonly #board: Blackboard;
  readonly #random: Randomness;
  #isReading = false;
  #isWatching = false;
  /** Whether the last text that was read contradicts the one in force. A watch does not show whether it still does. */
  #isInDoubt = false;
  #nextReadAt: Instant;
  #lastWatchAt: Instant | undefined;
  #adoptedAt: Instant | undefined;

  constructor(
    board: Blackboard,
    { random, now }: { random: Randomness; now: Instant },
  ) {
    this.#board = board;
    this.#random = random;
    this.#nextReadAt = now;
  }

  /** Starts a read or a watch if one is due. With `urgent`, reads are repeated soon and nothing is watched. */
  start(
    now: Instant,
    { urgent }: { urgent: boolean },
  ): "read" | "watch" | undefined {
    if (this.#isReading) {
      return undefined;
    }
    const isReadDue = now >= this.#nextReadAt;
    const watch = !urgent && !isReadDue && this.#canWatch(now);
    if (!watch && !isReadDue) {
      return undefined;
    }
    this.#isReading = true;
    this.#isWatching = watch;
    if (urgent) {
      this.#nextReadAt = after(now, INITIAL_READ_PERIOD_MS);
    }
    this.#lastWatchAt = watch ? now : this.#lastWatchAt;
    return watch ? "watch" : "read";
  }

  /** Records that a read or a watch ended with an answer. */
  finish(now: Instant): void {
    this.#isReading = false;
    // The end of a watch does not delay the next read: a watch compares revisions only, not their texts.
    if (!this.#isWatching) {
      this.#nextReadAt = after(
        now,
        FALLBACK_READ_PERIOD_MS * (0.5 + this.#random.next()),
      );
    }
  }

  /** Records that a read or a watch was not answered. */
  fail(now: Instant): void {
    this.#isReading = false;
    this.#nextReadAt = after(
      now,
      READ_RETRY_DELAY_MS * (1 + this.#random.next()),
    );
  }

  /** Reads again now, without waiting for an answer that is outstanding. */
  restart(now: Instant): void {
    this.#isReading = false;
    this.#nextReadAt = now;
  }

  /** Brings the next read forward, spread over the entries that do so together. */
  bringForward(now: Instant): void {
    const readAt = after(now, REJECTED_READ_SPREAD_MS * this.#random.next());
    this.#nextReadAt = readAt < this.#nextReadAt ? readAt : this.#nextReadAt;
  }

  /** Records that a text became part of the configuration in force, `first` if there was none before. */
  recordAdoption(now: Instant, { first }: { first: boolean }): void {
    this.#isInDoubt = false;
    this.#adoptedAt = first ? undefined : now;
  }

  /** Records whether the text that was read contradicts the one in force, and schedules the read that decides. */
  recordDoubt(doubt: "doubtful" | "older" | undefined, now: Instant): void {
    this.#isInDoubt = doubt !== undefined;
    const spread = 1 + this.#random.next();
    if (doubt === "doubtful") {
      this.#nextReadAt = after(now, RESTORE_CONFIRMATION_MS * spread);
    } else if (doubt === "older" && this.#isZoneWatcher()) {
      // A service that is outdated catches up; a restored one proves it with its next text.
      const period = Math.max(OUTDATED_READ_PERIOD_MS, this.#watchInterval());
      this.#nextReadAt = after(now, period * spread);
    }
  }

  #canWatch(now: Instant): boolean {
    // A plain read comes first after a failure, because a watch would report the recovery only when it ends.
    if (!this.#board.configuration.platformReachable || this.#isInDoubt) {
      return false;
    }
    const interval = this.#watchInterval();
    const adoptedRecently = this.#adoptedAt !== undefined &&
      now - this.#adoptedAt < interval;
    const watchedRecently = this.#lastWatchAt !== undefined &&
      now - this.#lastWatchAt < MIN_WATCH_INTERVAL_MS;
    return !adoptedRecently && !watchedRecently && this.#isZoneWatcher();
  }

  #isZoneWatcher(): boolean {
    const { self, configuration } = this.#board;
    return isWatcher(
      self.incarnation,
      configuration.revision,
      liveZoneMembers(this.#board),
    );
  }

  #watchInterval(): Milliseconds {
    return watchInterval(
      this.#board.configuration.text.length,
      liveZoneMembers(this.#board).length,
    );
  }
}
