/**
 * Schedules reads of the catalogue, and judges how old the last one is.
 *
 * @module
 */
import {
  after,
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
} from "../ids/index.ts";

/**
 * Interval between two reads of changes. Endpoints write their records about once a second: without a pause a
 * long poll would return for each of them. Well below the seconds within which a change has to take effect.
 */
const READ_INTERVAL_MS = 1_200;
/**
 * The same for an entry on standby. Nearly two hundred entries that read every second would cause most
 * of the platform's load. An entry on standby learns from peers when the catalogue of the serving
 * entries differs from its own, and reads at once when a request arrives.
 */
const STANDBY_READ_INTERVAL_MS = 8_000;
/** The same on standby or while relying on peers, after a failed read. */
const STANDBY_RETRY_MS = 2_000;
/**
 * A catalogue that was last read on standby is stale after this time. While endpoints come and go every
 * second, entries on standby then read every three seconds: all that they decide is to which regions
 * callers are directed.
 */
const STANDBY_STALE_AFTER_MS = 3_000;
/**
 * Interval between two reads of a reader, an entry that reads the platform on behalf of its peers. Readers
 * exist where the document must be known to be current. Their reads don't long-poll, since an answer proves
 * nothing about the time spent waiting for it.
 */
const READER_INTERVAL_MS = 800;
/** An entry that learns from readers reads the platform itself after this long without news from them. */
const MAX_UNCONFIRMED_MS = 2_200;
/** The same on standby, where hardly anything is decided by the document. */
const STANDBY_MAX_UNCONFIRMED_MS = 2_600;
/** Minimum interval between two reads that are caused by requests with an unknown key. */
const UNKNOWN_KEY_READ_INTERVAL_MS = 250;
/** How long one read waits for a change. */
const LONG_POLL_MS = 1_500;
/**
 * A read of changes that takes longer than this shows that the platform was silent: endpoints write about
 * once a second.
 */
const MAX_SILENT_READ_MS = 1_400;
/** Delay after a failed read. Doubles with each further failure, up to the maximum. */
const INITIAL_RETRY_MS = 200;
const MAX_RETRY_MS = 500;
/**
 * Interval between two full reads. Reads of changes build on the local catalogue, so that a change which was
 * missed once would stay missing without full reads.
 */
const FULL_READ_INTERVAL_MS = 60_000;
/** The same on standby. */
const STANDBY_FULL_READ_INTERVAL_MS = 300_000;
/** Maximum share of time spent in full reads, for large catalogues and slow links. */
const MAX_FULL_READ_SHARE = 0.005;
/** A peer is asked for a copy once an answer is overdue by this much. */
const ASK_PEER_AFTER_MS = 800;

/** Dependencies of the schedule. */
export interface ReadScheduleOptions {
  readonly random: Randomness;
  /** Whether this entry is on standby. */
  readonly isStandby: () => boolean;
  /**
   * This entry's role in keeping the document current: `no` if keys are not required, `reads` if it reads
   * the platform for its peers, `asks` if it learns from those readers.
   */
  readonly freshnessRole: (now: Instant) => "no" | "reads" | "asks";
}

/** Keeps track of when the next read is due. */
export class ReadSchedule {
  /** Number of consecutive failed reads. */
  failures = 0;
  readonly #options: ReadScheduleOptions;
  #reading = false;
  /**
   * Whether to read again right after the read under way, because its answer may date from before a pause of
   * this process.
   */
  #readAgain = false;
  #readSentAt: Instant;
  #nextReadAt: Instant;
  /** When the last full read ended, and how long after that the next one is due. */
  #fullReadAt: Instant | undefined;
  #fullReadInterval = 0;
  /** When the next answer was expected. */
  #answerDueAt: Instant;
  #answeredAt: Instant | undefined;
  /** The latest time at which a peer is known to have held the same catalogue. */
  #confirmedAt: Instant | undefined;
  /** Whether the last answer arrived while this entry was on standby. */
  #answeredOnStandby = false;
  /** Both values as of the answer before. */
  #previousAnswer: {
    readonly answeredAt: Instant | undefined;
    readonly answeredOnStandby: boolean;
  } = { answeredAt: undefined, answeredOnStandby: false };

  constructor(options: ReadScheduleOptions, now: Instant) {
    this.#options = options;
    this.#readSentAt = now;
    this.#nextReadAt = now;
    this.#answerDueAt = after(now, READ_INTERVAL_MS);
  }

  /** Returns whether a read is due, and marks it as under way. */
  beginIfDue(now: Instant): boolean {
    const due = !this.#reading && now >= this.#nextReadAt;
    if (due) {
      this.#reading = true;
      this.#readAgain = false;
      this.#readSentAt = now;
    }
    return due;
  }

  /**
   * How long the read under way may wait for a change. It does not wait after a failure, in order to notice
   * at once that the platform answers again; nor while the catalogue is stale, since requests may be waiting
   * for it; nor where the document must be known to be current.
   */
  longPollTime(now: Instant): Milliseconds {
    const mayWait = this.failures === 0 && !this.isStale(now) &&
      this.#options.freshnessRole(now) === "no";
    return milliseconds(mayWait ? LONG_POLL_MS : 0);
  }

  /** Records an answer. Returns whether the platform had been unavailable or silent for a while. */
  noteAnswer(now: Instant): boolean {
    const isStandby = this.#options.isStandby();
    const returned = this.failures > 0 ||
      now - this.#readSentAt > MAX_SILENT_READ_MS;
    this.#reading = false;
    this.failures = 0;
    this.#previousAnswer = {
      answeredAt: this.#answeredAt,
      answeredOnStandby: this.#answeredOnStandby,
    };
    this.#answeredAt = now;
    this.#answeredOnStandby = isStandby;
    this.#nextReadAt = after(now, this.#readAgain ? 0 : this.#interval(now));
    this.#answerDueAt = this.#nextReadAt;
    return returned;
  }

  /** Undoes `noteAnswer` for an answer that could not be used: the catalogue is as old as before. */
  revertAnswer(): void {
    this.#answeredAt = this.#previousAnswer.answeredAt;
    this.#answeredOnStandby = this.#previousAnswer.answeredOnStandby;
  }

  /** Records the answer to a full read. */
  noteFullRead(now: Instant): void {
    const { random, isStandby } = this.#options;
    const interval = isStandby()
      ? STANDBY_FULL_READ_INTERVAL_MS
      : FULL_READ_INTERVAL_MS;
    const minInterval = (now - this.#readSentAt) / MAX_FULL_READ_SHARE;
    this.#fullReadAt = now;
    // Randomized, so that entries that started together do not stay synchronized.
    this.#fullReadInterval = Math.max(interval, minInterval) *
      (0.5 + random.next());
  }

  /** Whether a full read is due, regardless of reads of changes. */
  isFullReadDue(now: Instant): boolean {
    return this.#fullReadAt !== undefined &&
      now - this.#fullReadAt >= this.#fullReadInterval;
  }

  /** Records a failed read. */
  noteFailure(now: Instant): void {
    const { random, isStandby } = this.#options;
    this.#reading = false;
    this.failures++;
    const asksPeers = this.#options.freshnessRole(now) === "asks";
    const delay = isStandby() || asksPeers
      ? STANDBY_RETRY_MS
      : Math.min(MAX_RETRY_MS, INITIAL_RETRY_MS * 2 ** (this.failures - 1));
    this.#nextReadAt = after(now, delay * (0.5 + random.next()));
  }

  /** Records that a peer holds the same catalogue and knew it to be current at `at`. */
  noteConfirmed(at: Instant, now: Instant): void {
    const lastConfirmedAt = this.#confirmedAt ?? -Infinity;
    this.#confirmedAt = instant(Math.max(lastConfirmedAt, at));
    if (this.#options.freshnessRole(now) === "asks") {
      this.#answeredAt = instant(Math.max(this.#answeredAt ?? at, at));
      this.#nextReadAt = instant(
        Math.max(this.#nextReadAt, this.#confirmedAt + this.#interval(now)),
      );
      this.#answerDueAt = this.#nextReadAt;
    }
  }

  /**
   * Endpoints changed while this entry is on standby. Delays the next read to the usual standby interval;
   * a request causes an earlier one.
   */
  postponeOnStandby(): void {
    const at = after(
      this.#answeredAt ?? this.#readSentAt,
      STANDBY_READ_INTERVAL_MS,
    );
    this.#nextReadAt = instant(Math.max(this.#nextReadAt, at));
  }

  /** Schedules an early read, for a request that only a newer catalogue can decide. */
  hastenForUnknownKey(now: Instant): void {
    this.#hasten(UNKNOWN_KEY_READ_INTERVAL_MS, now);
  }

  /** Makes the next read due now. A read under way is repeated, since it may have been answered long ago. */
  readAtOnce(now: Instant): void {
    this.#nextReadAt = now;
    this.#readAgain = this.#reading;
  }

  /** Makes the next read due after a random part of `spread`. */
  readWithin(spread: Milliseconds, now: Instant): void {
    this.readAtOnce(now);
    this.#nextReadAt = after(now, spread * this.#options.random.next());
  }

  /**
   * Schedules an early read because a request arrived on standby: the catalogue may be older than that of a
   * serving entry.
   */
  hastenAfterStandby(now: Instant): void {
    this.#hasten(READ_INTERVAL_MS, now);
  }

  /** Schedules an early read because a serving entry has a different catalogue. */
  hastenForPeerCatalogue(now: Instant): void {
    this.#hasten(STANDBY_STALE_AFTER_MS, now);
  }

  /**
   * Whether requests have to wait for the read under way. Only a catalogue that was last read on standby can
   * be stale: serving entries read regularly, and their requests don't wait if the platform falls silent.
   */
  isStale(now: Instant): boolean {
    const age = now - (this.#answeredAt ?? now);
    return this.#answeredOnStandby && this.failures === 0 &&
      age > STANDBY_STALE_AFTER_MS;
  }

  /** Whether an answer is so late that a peer should be asked. */
  isOverdue(now: Instant): boolean {
    return now - this.#answerDueAt >= ASK_PEER_AFTER_MS;
  }

  #interval(now: Instant): number {
    const isStandby = this.#options.isStandby();
    switch (this.#options.freshnessRole(now)) {
      case "no":
        return isStandby ? STANDBY_READ_INTERVAL_MS : READ_INTERVAL_MS;
      case "reads":
        return READER_INTERVAL_MS;
      case "asks":
        return isStandby ? STANDBY_MAX_UNCONFIRMED_MS : MAX_UNCONFIRMED_MS;
    }
  }

  /** Schedules the next read this long after the last answer, unless it is due earlier. */
  #hasten(interval: number, now: Instant): void {
    const earliest = after(this.#answeredAt ?? now, interval);
    const at = instant(Math.max(now, earliest));
    this.#nextReadAt = instant(Math.min(this.#nextReadAt, at));
    this.#answerDueAt = instant(Math.min(this.#answerDueAt, at));
  }
}
