/**
 * Starts, extends and ends holds, announces them to other entries and logs them for operators.
 *
 * @module
 */
import type { ContentDigest, Instant } from "../ids/index.ts";
import type { CrashingRequest } from "./crash_analysis.ts";
import {
  type AnsweredRequest,
  type CrashReport,
  EMPTY_QUARANTINE_UPDATE,
  type HoldNotice,
  type QuarantineUpdate,
} from "./quarantine_messages.ts";
import { type HeldRequest, HoldList } from "./hold_list.ts";
import { holdLogEntry } from "./quarantine_log.ts";

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

  /** Holds a request that crashes endpoints. */
  hold(
    { content, caller, crashes, score }: CrashingRequest,
    now: Instant,
  ): void {
    const { service } = crashes[0]!;
    const versions = crashes.map(({ softwareVersion }) => softwareVersion);
    const fields = { ends: crashes.length, score: Number(score.toFixed(1)) };
    this.#holdAndAnnounce({ content, caller, service, versions }, fields, now);
  }

  /**
   * Extends holds after a crash at which a held request was present: a trial failed, or the request also
   * crashes other software versions or comes from other callers.
   */
  noteCrash(
    { service, softwareVersion, age, victims }: CrashReport,
    now: Instant,
  ): void {
    const at = (now - age) as Instant;
    for (const { content, caller } of victims) {
      const crash = { at, version: softwareVersion, caller };
      if (this.holds.isNewCrash(content, crash)) {
        const current = this.holds.notice(content, now)!;
        const onlyCaller = current.caller === caller ? caller : undefined;
        const versions = [softwareVersion];
        this.#holdAndAnnounce(
          { content, caller: onlyCaller, service, versions },
          {},
          now,
        );
      }
    }
  }

  /** Records that an endpoint answered a request. */
  noteAnswered(
    { content, softwareVersion }: AnsweredRequest,
    now: Instant,
  ): void {
    if (this.holds.noteAnswered(content, softwareVersion)) {
      this.#announceEnd(content, "answered", now);
    }
  }

  /** Ends a hold at an operator's command. Returns `false` if the request is not held. */
  release(content: ContentDigest, now: Instant): boolean {
    const released = this.holds.release(content);
    if (released) {
      this.#announceEnd(content, "operator", now);
    }
    return released;
  }

  /** Merges a hold received from a peer and forwards it if it was new. */
  merge(notice: HoldNotice, now: Instant): void {
    if (this.holds.merge(notice, now)) {
      this.#logHold(notice.content, { told: true }, now);
      this.#announce(notice.content, now);
    }
  }

  /** Ends holds whose time is over. */
  tick(now: Instant): void {
    this.holds.removeExpired(now).forEach((content) =>
      this.#logEnd(content, "time")
    );
  }

  #holdAndAnnounce(
    held: HeldRequest,
    fields: Readonly<Record<string, unknown>>,
    now: Instant,
  ): void {
    this.holds.hold(held, now);
    this.#announce(held.content, now);
    this.#logHold(held.content, fields, now);
  }

  #announceEnd(
    content: ContentDigest,
    reason: "answered" | "operator",
    now: Instant,
  ): void {
    this.#logEnd(content, reason);
    this.#announce(content, now);
  }

  #announce(content: ContentDigest, now: Instant): void {
    const notice = this.holds.notice(content, now);
    if (notice !== undefined) {
      this.#deps.send(
        { ...EMPTY_QUARANTINE_UPDATE, holds: [notice] },
        "spread",
      );
    }
  }

  #logEnd(content: ContentDigest, reason: string): void {
    this.#deps.log("quarantine", "Request is no longer held back.", {
      digest: content,
      reason,
    });
  }

  #logHold(
    content: ContentDigest,
    fields: Readonly<Record<string, unknown>>,
    now: Instant,
  ): void {
    const notice = this.holds.notice(content, now)!;
    const { text, fields: holdFields } = holdLogEntry(notice);
    this.#deps.log("quarantine", text, { ...holdFields, ...fields });
  }
}
