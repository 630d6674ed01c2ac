/**
 * The operators' text: reads it, adopts it, passes it on, and never goes back.
 *
 * @module
 */
import type {
  Blackboard,
  ConfigurationView,
  Member,
  Writable,
} from "../blackboard/index.ts";
import {
  after,
  type Instant,
  type Randomness,
  type Revision,
} from "../ids/index.ts";
import type { ConfigurationCopy, Emit } from "../messages/index.ts";
import {
  applyPatch,
  diffText,
  parseText,
  type TextFault,
} from "../text/index.ts";
import {
  CONFIRMATION_WAIT_MS,
  COPY_TIMEOUT_MS,
  FAILED_READ_PAUSE_MS,
  FALLBACK_READ_PERIOD_MS,
  FIRST_READ_PERIOD_MS,
  foreignName,
  LEAST_WATCH_PAUSE_MS,
  REJECTED_READ_SPREAD_MS,
} from "./configuration_section.ts";
import { newestHolder } from "./newest_holder.ts";
import { hasWatchDuty, liveZone, watchInterval } from "./watch_duty.ts";

/** Writes the `configuration` section. */
export class ConfigurationController {
  readonly #board: Blackboard;
  readonly #section: Writable<ConfigurationView>;
  readonly #emit: Emit;
  readonly #random: Randomness;
  /** The accepted text before the one in force, to answer peers with a difference. */
  #previous: { readonly revision: Revision; readonly text: string } | undefined;
  #reading = false;
  #nextReadAt: Instant;
  #lastWatchAt: Instant | undefined;
  #adoptedAt: Instant | undefined;
  #copyAskedAt: Instant | undefined;
  #unconfirmedSince: Instant | undefined;
  #handledWakeAt: Instant | undefined;

  constructor(
    board: Blackboard,
    section: Writable<ConfigurationView>,
    { emit, random, now }: { emit: Emit; random: Randomness; now: Instant },
  ) {
    this.#board = board;
    this.#section = section;
    this.#emit = emit;
    this.#random = random;
    this.#nextReadAt = now;
  }

  /** Starts reads and copies that are due. */
  tick(now: Instant): void {
    this.#findMissing(now);
    this.#endConfirmation(now);
    this.#read(now);
  }

  /** A text from the configuration service. */
  read(revision: Revision, text: string, now: Instant): void {
    this.#readEnded(now);
    this.#section.platformReachable = true;
    this.#offer(revision, text, now);
    // An older value comes from a stale service: it confirms nothing.
    if (revision >= this.#section.revision) {
      this.#confirm(now);
    }
  }

  /** A watch ended with no newer revision. */
  unchanged(now: Instant): void {
    this.#readEnded(now);
    this.#section.platformReachable = true;
    this.#confirm(now);
  }

  /** The configuration service did not answer. */
  failed(now: Instant): void {
    this.#reading = false;
    this.#section.platformReachable = false;
    this.#nextReadAt = after(
      now,
      FAILED_READ_PAUSE_MS * (1 + this.#random.next()),
    );
  }

  /** A peer's copy, or its word that it has nothing newer, or no answer. */
  copied(
    { copy, answered }: {
      copy: ConfigurationCopy | undefined;
      answered: boolean;
    },
    now: Instant,
  ): void {
    this.#copyAskedAt = undefined;
    const text = copy === undefined ? undefined : this.#textOf(copy);
    if (copy !== undefined && text !== undefined) {
      this.#offer(copy.revision, text, now);
    }
    this.#findMissing(now);
    if (answered && (copy === undefined || text !== undefined)) {
      this.#confirm(now);
    }
  }

  /** A heartbeat of a peer came: learn of its revision at once. */
  heard(now: Instant): void {
    this.#findMissing(now);
  }

  /**
   * A peer has read a revision and rejected it.
   *
   * One entry a zone waits for changes of the text. The others would learn of a faulty one only by their
   * own read, up to a minute and a half later, and `status` would say of them that all is well.
   */
  heardRejected(revision: Revision, now: Instant): void {
    if (revision > this.#triedRevision()) {
      const soon = after(now, REJECTED_READ_SPREAD_MS * this.#random.next());
      this.#nextReadAt = soon < this.#nextReadAt ? soon : this.#nextReadAt;
    }
  }

  /** What to answer a peer that holds `have`. */
  copyFor(have: Revision): ConfigurationCopy | undefined {
    const { revision, text } = this.#section;
    if (have >= revision) {
      return undefined;
    }
    if (this.#previous?.revision === have) {
      return {
        kind: "patch",
        revision,
        base: have,
        patch: diffText(this.#previous.text, text),
      };
    }
    return { kind: "whole", revision, text };
  }

  /**
   * After a pause, requests that must not go wrong wait until a peer or the platform confirms the
   * text: a home may have changed while the process stood still, and the first request after waking
   * would be served in the wrong region.
   */
  noteWake(now: Instant): void {
    const { wokeAt } = this.#board.lifecycle;
    if (wokeAt === undefined || wokeAt === this.#handledWakeAt) {
      return;
    }
    this.#handledWakeAt = wokeAt;
    this.#section.unconfirmed = true;
    this.#unconfirmedSince = now;
    this.#reading = false;
    this.#nextReadAt = now;
    this.#copyAskedAt = undefined;
    this.#askAnyPeer(now);
  }

  #textOf(copy: ConfigurationCopy): string | undefined {
    if (copy.kind === "whole") {
      return copy.text;
    }
    return copy.base === this.#section.revision
      ? applyPatch(this.#section.text, copy.patch)
      : undefined;
  }

  /**
   * Takes a text if it is newer and acceptable.
   *
   * A stale service, a peer that was cut off or a rebooted entry may offer an older text. Taking it
   * would bring back an old home or an old limit; one would notice by an entry whose revision goes
   * down. The comparison is the only way in, so no source can take a revision back.
   */
  #offer(revision: Revision, text: string, now: Instant): void {
    const tried = this.#triedRevision();
    if (!Number.isSafeInteger(revision) || revision <= tried) {
      return;
    }
    const result = parseText(text);
    if (!result.ok) {
      this.#reject(revision, result.faults);
      return;
    }
    if (result.deployment.name !== this.#board.self.deployment) {
      this.#reject(revision, [
        foreignName(result.deployment.name, this.#board.self.deployment),
      ]);
      return;
    }
    this.#previous = {
      revision: this.#section.revision,
      text: this.#section.text,
    };
    this.#section.revision = revision;
    this.#section.text = text;
    this.#section.deployment = result.deployment;
    this.#section.rejected = undefined;
    this.#adoptedAt = this.#previous.revision === 0 ? undefined : now;
    this.#emit({
      kind: "log",
      part: "config",
      text: "Adopted a revision.",
      fields: { revision },
    });
    this.#findMissing(now);
  }

  #reject(revision: Revision, faults: readonly TextFault[]): void {
    this.#section.rejected = { revision, faults };
    this.#emit({
      kind: "log",
      part: "config",
      text: "Rejected a revision.",
      fields: { revision, faults },
    });
  }

  #confirm(now: Instant): void {
    this.#section.confirmedAt = now;
    this.#unconfirmedSince = undefined;
    this.#section.unconfirmed = this.#section.missing !== undefined;
  }

  #readEnded(now: Instant): void {
    this.#reading = false;
    this.#section.platformReads++;
    this.#nextReadAt = after(
      now,
      FALLBACK_READ_PERIOD_MS * (0.5 + this.#random.next()),
    );
  }

  #endConfirmation(now: Instant): void {
    const since = this.#unconfirmedSince;
    if (since === undefined || now - since < CONFIRMATION_WAIT_MS) {
      return;
    }
    // Cut off from the platform and from every peer: the zone goes on serving, and status says so.
    this.#unconfirmedSince = undefined;
    this.#section.unconfirmed = this.#section.missing !== undefined;
  }

  /**
   * Looks for a live peer with a newer revision and asks it for the text. Until the text is here,
   * home-bound requests are not dispatched: the missing revision may move their home.
   */
  #findMissing(now: Instant): void {
    const holder = newestHolder(this.#board, this.#triedRevision());
    const wasMissing = this.#section.missing !== undefined;
    this.#section.missing = holder?.revision;
    if (holder === undefined) {
      if (wasMissing && this.#unconfirmedSince === undefined) {
        this.#section.unconfirmed = false;
      }
      return;
    }
    this.#section.unconfirmed = true;
    this.#ask(holder, now);
  }

  /** Highest revision that was accepted or rejected. */
  #triedRevision(): Revision {
    const { revision, rejected } = this.#section;
    return Math.max(revision, rejected?.revision ?? 0) as Revision;
  }

  #askAnyPeer(now: Instant): void {
    for (const member of this.#board.membership.members.values()) {
      if (
        member.health === "live" &&
        member.record.region === this.#board.self.region
      ) {
        this.#ask(member, now);
        return;
      }
    }
  }

  #ask(member: Member, now: Instant): void {
    if (
      this.#copyAskedAt !== undefined &&
      now - this.#copyAskedAt < COPY_TIMEOUT_MS
    ) {
      return;
    }
    this.#copyAskedAt = now;
    const { incarnation, controlUrl } = member.record;
    this.#emit({
      kind: "copyConfiguration",
      from: incarnation,
      url: controlUrl,
      have: this.#section.revision,
    });
  }

  #read(now: Instant): void {
    if (this.#reading) {
      return;
    }
    const first = this.#section.deployment === undefined ||
      this.#unconfirmedSince !== undefined;
    const watch = !first && this.#mayWatch(now);
    if (!watch && now < this.#nextReadAt) {
      return;
    }
    this.#reading = true;
    if (first) {
      this.#nextReadAt = after(now, FIRST_READ_PERIOD_MS);
    }
    this.#lastWatchAt = watch ? now : this.#lastWatchAt;
    this.#emit({
      kind: "readConfiguration",
      // A faulty text is not asked for again: it would come at once, whole, each time.
      after: this.#triedRevision(),
      wait: watch,
    });
  }

  #mayWatch(now: Instant): boolean {
    // After a failure a plain read goes first: a watch would not tell for long that all is well again.
    if (!this.#section.platformReachable) {
      return false;
    }
    const { self } = this.#board;
    const zone = liveZone(this.#board);
    const interval = watchInterval(this.#section.text.length, zone.length);
    const adoptedLately = this.#adoptedAt !== undefined &&
      now - this.#adoptedAt < interval;
    const watchedLately = this.#lastWatchAt !== undefined &&
      now - this.#lastWatchAt < LEAST_WATCH_PAUSE_MS;
    return !adoptedLately && !watchedLately &&
      hasWatchDuty(self.incarnation, this.#section.revision, zone);
  }
}
