/**
 * Begins, prolongs and ends holds, tells other entries and writes the operators' lines.
 *
 * @module
 */
import type { ContentDigest, Instant } from "../ids/index.ts";
import type { Culprit } from "./crash_evidence.ts";
import {
  type AnsweredRequest,
  type CrashReport,
  type HoldNotice,
  NOTHING_NEW,
  type QuarantineNews,
} from "./quarantine_messages.ts";
import { type HeldRequest, HoldList } from "./hold_list.ts";
import { holdLine } from "./quarantine_lines.ts";

/** Who is told. */
export type NewsRecipients =
  /** Entries that carry requests: they add up. */
  | "carriers"
  /** Some entries, that pass it on. */
  | "spread";

/** What the keeper works with. */
export interface HoldKeeperSources {
  readonly tell: (news: QuarantineNews, to: NewsRecipients) => void;
  readonly log: (
    part: "quarantine",
    text: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Keeps the holds that all entries share. */
export class HoldKeeper {
  readonly holds = new HoldList();
  readonly #sources: HoldKeeperSources;

  constructor(sources: HoldKeeperSources) {
    this.#sources = sources;
  }

  /** A request ends what runs it. */
  hold({ content, caller, ends, score }: Culprit, now: Instant): void {
    const { service } = ends[0]!;
    const versions = ends.map(({ softwareVersion }) => softwareVersion);
    const fields = { ends: ends.length, score: Number(score.toFixed(1)) };
    this.#put({ content, caller, service, versions }, fields, now);
  }

  /** An end under a held request: a trial has failed, or other software or callers are no better. */
  noteEnd(
    { service, softwareVersion, age, victims }: CrashReport,
    now: Instant,
  ): void {
    const at = (now - age) as Instant;
    for (const { content, caller } of victims) {
      const end = { at, version: softwareVersion, caller };
      if (this.holds.isNewEnd(content, end)) {
        const held = this.holds.notice(content, now)!;
        const one = held.caller === caller ? caller : undefined;
        const versions = [softwareVersion];
        this.#put({ content, caller: one, service, versions }, {}, now);
      }
    }
  }

  /** An endpoint has answered a request. */
  noteAnswered(
    { content, softwareVersion }: AnsweredRequest,
    now: Instant,
  ): void {
    if (this.holds.noteAnswered(content, softwareVersion)) {
      this.#noteOver(content, "answered", now);
    }
  }

  /** An operator ends a hold; `false` where there is none. */
  release(content: ContentDigest, now: Instant): boolean {
    const released = this.holds.release(content);
    if (released) {
      this.#noteOver(content, "operator", now);
    }
    return released;
  }

  /** Takes what a peer holds back, and passes news on. */
  learn(notice: HoldNotice, now: Instant): void {
    if (this.holds.learn(notice, now)) {
      this.#logHold(notice.content, { told: true }, now);
      this.#spread(notice.content, now);
    }
  }

  /** Ends what is over by time. */
  tick(now: Instant): void {
    this.holds.forget(now).forEach((content) => this.#logOver(content, "time"));
  }

  #put(
    held: HeldRequest,
    fields: Readonly<Record<string, unknown>>,
    now: Instant,
  ): void {
    this.holds.hold(held, now);
    this.#spread(held.content, now);
    this.#logHold(held.content, fields, now);
  }

  #noteOver(
    content: ContentDigest,
    reason: "answered" | "operator",
    now: Instant,
  ): void {
    this.#logOver(content, reason);
    this.#spread(content, now);
  }

  #spread(content: ContentDigest, now: Instant): void {
    const notice = this.holds.notice(content, now);
    if (notice !== undefined) {
      this.#sources.tell({ ...NOTHING_NEW, holds: [notice] }, "spread");
    }
  }

  #logOver(content: ContentDigest, reason: string): void {
    this.#sources.log("quarantine", "Request is no longer held back.", {
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
    const { text, fields: known } = holdLine(notice);
    this.#sources.log("quarantine", text, { ...known, ...fields });
  }
}
