/**
 * Answers that other entries should hear of, because they speak for something that was present at a crash.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";
import type { AnsweredSubject } from "./quarantine_messages.ts";
import type { CrashSubject } from "./subject.ts";

/** Number of answers in one datagram, which keeps it below 1,400 bytes. */
const ANSWERS_PER_MESSAGE = 48;
/** Limit for the answers that wait. Each speaks for a subject, and subjects have many. */
const MAX_PENDING = 1_024;

/** Announces each subject once, and none that another entry announces first. */
export class AnswerAnnouncements {
  readonly #pending = new Map<
    CrashSubject,
    { readonly answered: AnsweredSubject; readonly dueAt: Instant }
  >();

  /** Adds an answer to announce at a given time at the earliest. */
  add(answered: AnsweredSubject, dueAt: Instant): void {
    const { subject } = answered;
    const known = this.#pending.get(subject);
    const hasRoom = known !== undefined || this.#pending.size < MAX_PENDING;
    if (hasRoom && dueAt < (known?.dueAt ?? Infinity)) {
      this.#pending.set(subject, { answered, dueAt });
    }
  }

  /** Records that another entry announced an answer. */
  cancel(subject: CrashSubject): void {
    this.#pending.delete(subject);
  }

  /** Removes and returns the answers of the next message. */
  take(now: Instant): AnsweredSubject[] {
    const due = [...this.#pending.values()].filter(({ dueAt }) => dueAt <= now)
      .slice(0, ANSWERS_PER_MESSAGE).map(({ answered }) => answered);
    due.forEach(({ subject }) => this.#pending.delete(subject));
    return due;
  }
}
