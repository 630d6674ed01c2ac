/**
 * Starts, extends and ends holds, announces them to other entries and logs them for operators.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";
import {
  type CrashingSubject,
  type ObservedCrash,
  wasTriedAt,
} from "./crash_analysis.ts";
import {
  type AnsweredSubject,
  type CrashReport,
  EMPTY_QUARANTINE_UPDATE,
  type HoldNotice,
  type QuarantineUpdate,
} from "./quarantine_messages.ts";
import { type HeldSubject, HoldList } from "./hold_list.ts";
import { holdLogEntry, subjectLogFields } from "./quarantine_log.ts";
import {
  ANY_CALLER,
  type CrashSubject,
  groupOf,
  isPart,
  membersOf,
} from "./subject.ts";

/** The peers that receive a message. */
export type UpdateRecipients =
  /** The serving entries, which all collect crash reports. */
  | "carriers"
  /** Some peers, which forward the message. */
  | "spread";

/** Dependencies of `HoldController`. */
export interface HoldControllerDependencies {
  readonly send: (news: QuarantineUpdate, to: UpdateRecipients) => void;
  readonly log: (
    part: "quarantine",
    text: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Manages the holds, which are shared by all entries. */
export class HoldController {
  readonly holds = new HoldList();
  readonly #deps: HoldControllerDependencies;

  constructor(deps: HoldControllerDependencies) {
    this.#deps = deps;
  }

  /** Holds what crashes endpoints. */
  hold(
    { subject, caller, crashes, score }: CrashingSubject,
    now: Instant,
  ): void {
    const { service } = crashes[0]!;
    const versions = crashes.map(({ softwareVersion }) => softwareVersion);
    const fields = {
      ends: crashes.length,
      trials: crashes.filter((crash) => wasTriedAt(subject, crash)).length,
      score: Number(score.toFixed(1)),
    };
    this.#holdAndAnnounce({ subject, caller, service, versions }, fields, now);
  }

  /**
   * Extends holds after a crash at which what they hold was present: a trial failed, or it also crashes other software
   * versions or comes from other callers.
   */
  noteCrash(
    { service, softwareVersion, age, victims }: CrashReport,
    now: Instant,
  ): void {
    const at = (now - age) as Instant;
    const callers = new Map(
      victims.map(({ subject, caller }) => [subject, caller]),
    );
    const tried = new Set(
      victims.filter(({ trial }) => trial).map(({ subject }) => subject),
    );
    for (const subject of this.holds.findPresent(callers, tried)) {
      const caller = callers.get(subject) ?? ANY_CALLER;
      const crash = { at, version: softwareVersion, caller };
      if (this.holds.isNewCrash(subject, crash)) {
        const current = this.holds.notice(subject, now)!;
        const onlyCaller = current.caller === caller ? caller : undefined;
        const versions = [softwareVersion];
        this.#holdAndAnnounce(
          { subject, caller: onlyCaller, service, versions },
          {},
          now,
        );
      }
    }
  }

  /** Holds some parts of a held group by themselves, if an endpoint crashed under a trial of them without the others. */
  narrowGroups(
    { trials, service, softwareVersion }: ObservedCrash,
    now: Instant,
  ): void {
    for (const group of this.holds.findPartlyTried(trials)) {
      const parts = membersOf(group).filter((member) => trials.has(member));
      const subject = groupOf(parts.filter(isPart));
      const versions = [softwareVersion];
      this.#holdAndAnnounce(
        { subject, caller: undefined, service, versions },
        { group },
        now,
      );
    }
  }

  /** Records that an endpoint answered a request with the subject. */
  noteAnswered(
    { subject, softwareVersion }: AnsweredSubject,
    now: Instant,
  ): void {
    if (this.holds.noteAnswered(subject, softwareVersion)) {
      this.#announceEnd(subject, "answered", now);
    }
  }

  /** Ends a hold at an operator's command. Returns `false` if there is none. */
  release(subject: CrashSubject, now: Instant): boolean {
    const released = this.holds.release(subject);
    if (released) {
      this.#announceEnd(subject, "operator", now);
    }
    return released;
  }

  /** Merges a hold received from a peer and forwards it if it was new. */
  merge(notice: HoldNotice, now: Instant): void {
    if (this.holds.merge(notice, now)) {
      this.#logHold(notice.subject, { told: true }, now);
      this.#announce(notice.subject, now);
    }
  }

  /** Ends holds whose time is over. */
  tick(now: Instant): void {
    this.holds.removeExpired(now).forEach((subject) =>
      this.#logEnd(subject, "time")
    );
  }

  #holdAndAnnounce(
    held: HeldSubject,
    fields: Readonly<Record<string, unknown>>,
    now: Instant,
  ): void {
    this.holds.hold(held, now);
    this.#announce(held.subject, now);
    this.#logHold(held.subject, fields, now);
  }

  #announceEnd(
    subject: CrashSubject,
    reason: "answered" | "operator",
    now: Instant,
  ): void {
    this.#logEnd(subject, reason);
    this.#announce(subject, now);
  }

  #announce(subject: CrashSubject, now: Instant): void {
    const notice = this.holds.notice(subject, now);
    if (notice !== undefined) {
      this.#deps.send(
        { ...EMPTY_QUARANTINE_UPDATE, holds: [notice] },
        "spread",
      );
    }
  }

  #logEnd(subject: CrashSubject, reason: string): void {
    this.#deps.log("quarantine", "Request is no longer held back.", {
      ...subjectLogFields(subject),
      reason,
    });
  }

  #logHold(
    subject: CrashSubject,
    fields: Readonly<Record<string, unknown>>,
    now: Instant,
  ): void {
    const notice = this.holds.notice(subject, now)!;
    const { text, fields: holdFields } = holdLogEntry(notice);
    this.#deps.log("quarantine", text, { ...holdFields, ...fields });
  }
}
