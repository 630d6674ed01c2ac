/**
 * When the published picture is read again, and how old what was read may be.
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
 * Pause between two reads of changes. Endpoints write their records every second or so: without a
 * pause a waiting read would return for each of them. Well under the seconds that a change may take.
 */
const READ_PAUSE_MS = 1_200;
/**
 * The same for an entry that stands by: nearly two hundred entries that read each second are most of what
 * the platform is asked. It is told when the picture of those that carry differs, and reads at once when
 * a request comes.
 */
const RESTING_READ_PAUSE_MS = 8_000;
/** The same after a failed read. */
const RESTING_RETRY_MS = 2_000;
/**
 * A picture that was read at rest is old after this. While endpoints come and go each second, those that
 * stand by read every third: what they decide is to which regions callers go.
 */
const OLD_MS = 3_000;
/**
 * Between two reads of an entry that reads for others, where what is held must be known to be current: these
 * do not wait for a change, since a wait tells nothing of the time that it took.
 */
const CONFIRM_PAUSE_MS = 800;
/** Without word from those for so long an entry reads for itself; at rest it decides nothing from it. */
const UNCONFIRMED_MS = 2_200;
const RESTING_UNCONFIRMED_MS = 2_600;
/** Between reads that requests with an unknown key ask for. */
const DOUBT_PAUSE_MS = 250;
/** Longest that one read waits for a change. */
const READ_WAIT_MS = 1_500;
/** Endpoints write every second or so: a longer silence was the platform's, not theirs. */
const SILENT_READ_MS = 1_400;
/** After a failed read; doubles up to the most. */
const FIRST_RETRY_MS = 200;
const MOST_RETRY_MS = 500;
/**
 * Between two whole reads. Reads of changes go on from what is held, so that a change that was missed once
 * would be missed for good.
 */
const WHOLE_READ_PERIOD_MS = 60_000;
/** The same for an entry that stands by. */
const RESTING_WHOLE_READ_PERIOD_MS = 300_000;
/** And no more than this part of the time is spent in them, where pictures are large and links slow. */
const WHOLE_READ_PART = 0.005;
/** Time by which an answer is overdue when a peer is asked. */
const ASK_PEER_AFTER_MS = 800;

/** What the schedule needs. */
export interface ReadScheduleOptions {
  readonly random: Randomness;
  /** Whether this entry stands by. */
  readonly resting: () => boolean;
  /**
   * Whether what is held must be known to be current: then a few entries read for all, this one among them
   * or not.
   */
  readonly confirming: (now: Instant) => "no" | "reads" | "asks";
}

/** Keeps the time of the next read. */
export class ReadSchedule {
  /** Reads that failed in a row. */
  failures = 0;
  readonly #options: ReadScheduleOptions;
  #reading = false;
  /** Whether the answer under way may be from before a pause of this process. */
  #readsAgain = false;
  #readAt: Instant;
  #nextAt: Instant;
  /** When the last whole read ended, and how long after it the next one is due. */
  #wholeAt: Instant | undefined;
  #wholePause = 0;
  /** When the next answer was to be expected. */
  #dueAt: Instant;
  #answeredAt: Instant | undefined;
  /** Until when another entry is known to have held the same. */
  #confirmedAt: Instant | undefined;
  /** Whether the last answer came while this entry stood by. */
  #answeredAtRest = false;
  /** The same two of the answer before. */
  #former: {
    readonly answeredAt: Instant | undefined;
    readonly answeredAtRest: boolean;
  } = { answeredAt: undefined, answeredAtRest: false };

  constructor(options: ReadScheduleOptions, now: Instant) {
    this.#options = options;
    this.#readAt = now;
    this.#nextAt = now;
    this.#dueAt = after(now, READ_PAUSE_MS);
  }

  /** Whether a read is to be made now; it is then under way. */
  begin(now: Instant): boolean {
    const due = !this.#reading && now >= this.#nextAt;
    if (due) {
      this.#reading = true;
      this.#readsAgain = false;
      this.#readAt = now;
    }
    return due;
  }

  /**
   * How long the read under way may wait for a change. After a failure nothing is waited for: what matters
   * is to know at once that the platform answers again. Nor where the picture is old: something may be
   * waiting for it.
   */
  wait(now: Instant): Milliseconds {
    const waits = this.failures === 0 && !this.isOld(now) &&
      this.#options.confirming(now) === "no";
    return milliseconds(waits ? READ_WAIT_MS : 0);
  }

  /** An answer has come. Tells whether the platform had been away, or silent for a while. */
  answered(now: Instant): boolean {
    const resting = this.#options.resting();
    const returned = this.failures > 0 || now - this.#readAt > SILENT_READ_MS;
    this.#reading = false;
    this.failures = 0;
    this.#former = {
      answeredAt: this.#answeredAt,
      answeredAtRest: this.#answeredAtRest,
    };
    this.#answeredAt = now;
    this.#answeredAtRest = resting;
    this.#nextAt = after(now, this.#readsAgain ? 0 : this.#pause(now));
    this.#dueAt = this.#nextAt;
    return returned;
  }

  /** The answer that has just come brought nothing: the picture is as old as it was. */
  noteNothingRead(): void {
    this.#answeredAt = this.#former.answeredAt;
    this.#answeredAtRest = this.#former.answeredAtRest;
  }

  /** The answer to a whole read has come. */
  noteWhole(now: Instant): void {
    const { random, resting } = this.#options;
    const period = resting()
      ? RESTING_WHOLE_READ_PERIOD_MS
      : WHOLE_READ_PERIOD_MS;
    const least = (now - this.#readAt) / WHOLE_READ_PART;
    this.#wholeAt = now;
    // Drawn, so that entries that started together do not go on doing so.
    this.#wholePause = Math.max(period, least) * (0.5 + random.next());
  }

  /** Whether everything is to be read again, whatever was read of changes. */
  isWholeDue(now: Instant): boolean {
    return this.#wholeAt !== undefined &&
      now - this.#wholeAt >= this.#wholePause;
  }

  /** No answer has come. */
  failed(now: Instant): void {
    const { random, resting } = this.#options;
    this.#reading = false;
    this.failures++;
    const asks = this.#options.confirming(now) === "asks";
    const pause = resting() || asks
      ? RESTING_RETRY_MS
      : Math.min(MOST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.failures - 1));
    this.#nextAt = after(now, pause * (0.5 + random.next()));
  }

  /** Another entry holds the same, and knew it to be current at an instant. */
  noteConfirmed(at: Instant, now: Instant): void {
    const known = this.#confirmedAt ?? -Infinity;
    this.#confirmedAt = instant(Math.max(known, at));
    if (this.#options.confirming(now) === "asks") {
      this.#answeredAt = instant(Math.max(this.#answeredAt ?? at, at));
      this.#nextAt = instant(
        Math.max(this.#nextAt, this.#confirmedAt + this.#pause(now)),
      );
      this.#dueAt = this.#nextAt;
    }
  }

  /** Endpoints changed, and this entry stands by: it reads as seldom as any that does, and at its first use. */
  noteBehind(): void {
    const at = after(this.#answeredAt ?? this.#readAt, RESTING_READ_PAUSE_MS);
    this.#nextAt = instant(Math.max(this.#nextAt, at));
  }

  /** A request came that only a newer picture can judge. */
  noteDoubt(now: Instant): void {
    this.#hasten(DOUBT_PAUSE_MS, now);
  }

  /** Whatever was planned, the next read is due; one under way may have been answered long ago. */
  readAtOnce(now: Instant): void {
    this.#nextAt = now;
    this.#readsAgain = this.#reading;
  }

  /** The next read is due at an instant that is drawn from so long a time. */
  readWithin(spread: Milliseconds, now: Instant): void {
    this.readAtOnce(now);
    this.#nextAt = after(now, spread * this.#options.random.next());
  }

  /** The picture is needed, and may be older than that of an entry that carries. */
  noteUse(now: Instant): void {
    this.#hasten(READ_PAUSE_MS, now);
  }

  /** An entry that carries has another picture. */
  noteOther(now: Instant): void {
    this.#hasten(OLD_MS, now);
  }

  /**
   * Whether a request has to wait for the read under way. An entry that carries reads in time: should its
   * platform fall silent, its requests do not wait for it.
   */
  isOld(now: Instant): boolean {
    const age = now - (this.#answeredAt ?? now);
    return this.#answeredAtRest && this.failures === 0 && age > OLD_MS;
  }

  /** Whether the platform is so late that a peer is asked. */
  isOverdue(now: Instant): boolean {
    return now - this.#dueAt >= ASK_PEER_AFTER_MS;
  }

  #pause(now: Instant): number {
    const resting = this.#options.resting();
    switch (this.#options.confirming(now)) {
      case "no":
        return resting ? RESTING_READ_PAUSE_MS : READ_PAUSE_MS;
      case "reads":
        return CONFIRM_PAUSE_MS;
      case "asks":
        return resting ? RESTING_UNCONFIRMED_MS : UNCONFIRMED_MS;
    }
  }

  /** Reads so long after the last answer, if it would be later. */
  #hasten(pause: number, now: Instant): void {
    const soon = after(this.#answeredAt ?? now, pause);
    const at = instant(Math.max(now, soon));
    this.#nextAt = instant(Math.min(this.#nextAt, at));
    this.#dueAt = instant(Math.min(this.#dueAt, at));
  }
}
