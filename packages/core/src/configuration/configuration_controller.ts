/**
 * Reads the configuration text that operators publish, adopts newer revisions and passes them on to peers.
 * The adopted revision never decreases.
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
  type Instant,
  type Randomness,
  type Revision,
  type ServiceRevision,
} from "../ids/index.ts";
import type { ConfigurationCopy, Emit } from "../messages/index.ts";
import {
  applyPatch,
  createTextPatch,
  parseConfiguration,
  type TextFault,
} from "../text/index.ts";
import {
  CONFIRMATION_WAIT_MS,
  COPY_TIMEOUT_MS,
  nameMismatchFault,
} from "./configuration_section.ts";
import {
  epochOf,
  formatRevision,
  revisionFields,
  serviceRevisionOf,
} from "./fleet_revision.ts";
import { findNewestPeer } from "./newest_peer.ts";
import { RestoreDetector, type ServiceReading } from "./restore_detector.ts";
import { ServiceReads } from "./service_reads.ts";
import { digestText } from "./text_history.ts";

/** Maintains the `configuration` section of the blackboard. */
export class ConfigurationController {
  readonly #board: Blackboard;
  readonly #section: Writable<ConfigurationView>;
  readonly #emit: Emit;
  /** The text adopted before the current one, so that peers that still hold it can be sent a patch. */
  #previous: { readonly revision: Revision; readonly text: string } | undefined;
  readonly #reads: ServiceReads;
  readonly #detector = new RestoreDetector();
  /** The text that was last ignored, which is logged once. */
  #ignoredText: string | undefined;
  /** Whether the last patch of a peer did not fit, because both hold different texts under its base. */
  #needsWholeCopy = false;
  /** The revision rejected by a peer for which the next read was last brought forward. */
  #peerRejection: Revision | undefined;
  #copyRequestedAt: Instant | undefined;
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
    this.#reads = new ServiceReads(board, { random, now });
  }

  /** Starts the reads and peer copies that are due. */
  tick(now: Instant): void {
    this.#requestMissingRevision(now);
    this.#endConfirmationWait(now);
    this.#startRead(now);
  }

  /** Handles a text that the configuration service returned. */
  handleText(revision: ServiceRevision, text: string, now: Instant): void {
    this.#finishRead(now);
    this.#section.platformReachable = true;
    const newest = this.#highestCheckedRevision();
    const reading = this.#detector.read({ revision, text, newest }, now);
    this.#section.servedOlder = reading.kind === "older" ? revision : undefined;
    const isNewest = reading.kind === "current" || reading.kind === "newer";
    this.#reads.recordDoubt(isNewest ? undefined : reading.kind, now);
    if (reading.kind === "newer") {
      this.#adoptFromService(reading, text, now);
    } else if (!isNewest) {
      this.#logIgnored(revision, text);
    }
    // An older text comes from a stale service and confirms nothing.
    if (isNewest || text === this.#section.text) {
      this.#confirm(now);
    }
  }

  /** Handles a watch that ended without a newer revision. */
  handleUnchanged(now: Instant): void {
    this.#finishRead(now);
    this.#section.platformReachable = true;
    this.#confirm(now);
  }

  /** Handles a read that the configuration service did not answer. */
  handleReadFailure(now: Instant): void {
    this.#reads.fail(now);
    this.#section.platformReachable = false;
  }

  /**
   * Handles the outcome of a copy request to a peer. `copy` is missing if the peer has no newer text, and
   * `answered` is false if the peer did not answer.
   */
  handlePeerCopy(
    { copy, answered }: {
      copy: ConfigurationCopy | undefined;
      answered: boolean;
    },
    now: Instant,
  ): void {
    this.#copyRequestedAt = undefined;
    const text = copy === undefined ? undefined : this.#resolveText(copy);
    if (copy !== undefined && text !== undefined) {
      this.#detector.history.merge(
        copy.kind === "whole" ? copy.history ?? [] : [],
      );
      this.#adoptIfNewer(copy.revision, text, now);
    }
    this.#needsWholeCopy = copy !== undefined && text === undefined;
    this.#requestMissingRevision(now);
    if (answered && (copy === undefined || text !== undefined)) {
      this.#confirm(now);
    }
  }

  /** Handles a peer's heartbeat, whose revision may be newer than the one held here. */
  handleHeartbeat(now: Instant): void {
    this.#requestMissingRevision(now);
  }

  /**
   * Brings the next read forward when a peer reports a revision that it has read and rejected.
   *
   * Only one entry per zone watches for changes. Without this read, the others would learn of a faulty text only
   * by their own periodic read, up to a minute and a half later, and `status` would report them as healthy.
   */
  handlePeerRejection(revision: Revision, now: Instant): void {
    if (
      revision > this.#highestCheckedRevision() &&
      revision !== this.#peerRejection
    ) {
      this.#peerRejection = revision;
      this.#reads.bringForward(now);
    }
  }

  /** Returns the copy for a peer that holds `peerRevision`, or `undefined` if nothing newer is held here. */
  createCopyFor(peerRevision: Revision): ConfigurationCopy | undefined {
    const { revision, text } = this.#section;
    if (peerRevision >= revision) {
      return undefined;
    }
    if (this.#canPatch(peerRevision)) {
      return {
        kind: "patch",
        revision,
        base: peerRevision,
        patch: createTextPatch(this.#previous!.text, text),
      };
    }
    const history = this.#detector.history.upTo(revision);
    return { kind: "whole", revision, text, history };
  }

  /**
   * Marks the configuration as unconfirmed after a pause of the process. Requests that depend on an up-to-date
   * home wait until a peer or the platform confirms the text: the home may have changed during the pause, and
   * the first request after it would be served in the wrong region.
   */
  handleWake(now: Instant): void {
    const { resumedAt } = this.#board.lifecycle;
    if (resumedAt === undefined || resumedAt === this.#handledWakeAt) {
      return;
    }
    this.#handledWakeAt = resumedAt;
    this.#section.unconfirmed = true;
    this.#unconfirmedSince = now;
    this.#reads.restart(now);
    this.#copyRequestedAt = undefined;
    this.#requestCopyFromAnyPeer(now);
  }

  #resolveText(copy: ConfigurationCopy): string | undefined {
    if (copy.kind === "whole") {
      return copy.text;
    }
    const { revision, text } = this.#section;
    const base = copy.base === revision
      ? text
      : copy.base === 0
      ? ""
      : undefined;
    return base === undefined ? undefined : applyPatch(base, copy.patch);
  }

  /** Whether the text before the current one is what a peer with `peerRevision` holds. */
  #canPatch(peerRevision: Revision): boolean {
    // Entries may hold different texts under the last revision before a restore of the service.
    return peerRevision !== 0 && this.#previous?.revision === peerRevision &&
      epochOf(peerRevision) === epochOf(this.#section.revision);
  }

  #adoptFromService(
    { revision, restored }: Extract<ServiceReading, { kind: "newer" }>,
    text: string,
    now: Instant,
  ): void {
    if (restored) {
      this.#emit({
        kind: "log",
        part: "config",
        text: "Configuration service was restored, a new epoch begins.",
        fields: {
          ...revisionFields(revision),
          held: formatRevision(this.#section.revision),
        },
      });
    }
    this.#adoptIfNewer(revision, text, now);
  }

  /**
   * Adopts a text if its revision is newer and the text is valid.
   *
   * A stale service, a peer that was cut off or a rebooted entry may offer an older text. Adopting it would
   * restore an old home or limit, visible as an entry whose revision decreases. All sources pass this
   * comparison, so none can lower the revision.
   */
  #adoptIfNewer(revision: Revision, text: string, now: Instant): void {
    const highestChecked = this.#highestCheckedRevision();
    if (!Number.isSafeInteger(revision) || revision <= highestChecked) {
      return;
    }
    this.#detector.history.add({ revision, digest: digestText(text) });
    const result = parseConfiguration(text);
    if (!result.ok) {
      this.#reject(revision, result.faults);
      return;
    }
    if (result.deployment.name !== this.#board.self.deployment) {
      this.#reject(revision, [
        nameMismatchFault(result.deployment.name, this.#board.self.deployment),
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
    this.#section.servedOlder = undefined;
    this.#reads.recordAdoption(now, { first: this.#previous.revision === 0 });
    this.#emit({
      kind: "log",
      part: "config",
      text: "Adopted a revision.",
      fields: revisionFields(revision),
    });
    this.#requestMissingRevision(now);
  }

  #logIgnored(revision: ServiceRevision, text: string): void {
    const held = formatRevision(this.#section.revision);
    if (text !== this.#section.text && text !== this.#ignoredText) {
      this.#ignoredText = text;
      this.#emit({
        kind: "log",
        part: "config",
        text: "Ignored a text, its revision is not newer.",
        fields: { revision, held },
      });
    }
  }

  #reject(revision: Revision, faults: readonly TextFault[]): void {
    this.#section.rejected = { revision, faults };
    this.#emit({
      kind: "log",
      part: "config",
      text: "Rejected a revision.",
      fields: { ...revisionFields(revision), faults },
    });
  }

  #confirm(now: Instant): void {
    this.#section.confirmedAt = now;
    this.#unconfirmedSince = undefined;
    this.#section.unconfirmed = this.#section.missingRevision !== undefined;
  }

  #finishRead(now: Instant): void {
    this.#reads.finish(now);
    this.#section.platformReads++;
  }

  #endConfirmationWait(now: Instant): void {
    const since = this.#unconfirmedSince;
    if (since === undefined || now - since < CONFIRMATION_WAIT_MS) {
      return;
    }
    // Neither the platform nor a peer is reachable: the zone continues to serve, and `status` reports it.
    this.#unconfirmedSince = undefined;
    this.#section.unconfirmed = this.#section.missingRevision !== undefined;
  }

  /**
   * Requests the text from a live peer that holds a newer revision. Until it arrives, requests that are bound
   * to a home region are not dispatched, because the missing revision may change their home.
   */
  #requestMissingRevision(now: Instant): void {
    const newestPeer = findNewestPeer(
      this.#board,
      this.#highestCheckedRevision(),
    );
    const wasMissing = this.#section.missingRevision !== undefined;
    this.#section.missingRevision = newestPeer?.revision;
    if (newestPeer === undefined) {
      if (wasMissing && this.#unconfirmedSince === undefined) {
        this.#section.unconfirmed = false;
      }
      return;
    }
    this.#section.unconfirmed = true;
    this.#requestCopy(newestPeer, now);
  }

  /** Returns the highest revision that was accepted or rejected. */
  #highestCheckedRevision(): Revision {
    const { revision, rejected } = this.#section;
    return Math.max(revision, rejected?.revision ?? 0) as Revision;
  }

  #requestCopyFromAnyPeer(now: Instant): void {
    for (const member of this.#board.membership.members.values()) {
      if (
        member.health === "live" &&
        member.record.region === this.#board.self.region
      ) {
        this.#requestCopy(member, now);
        return;
      }
    }
  }

  #requestCopy(member: Member, now: Instant): void {
    if (
      this.#copyRequestedAt !== undefined &&
      now - this.#copyRequestedAt < COPY_TIMEOUT_MS
    ) {
      return;
    }
    this.#copyRequestedAt = now;
    const { incarnation, controlUrl } = member.record;
    this.#emit({
      kind: "copyConfiguration",
      from: incarnation,
      url: controlUrl,
      have: this.#needsWholeCopy ? 0 as Revision : this.#section.revision,
    });
  }

  #startRead(now: Instant): void {
    const urgent = this.#section.deployment === undefined ||
      this.#unconfirmedSince !== undefined;
    const started = this.#reads.start(now, { urgent });
    if (started === undefined) {
      return;
    }
    this.#emit({
      kind: "readConfiguration",
      // Excludes a rejected revision: the service would return its whole text immediately on every read.
      after: serviceRevisionOf(this.#highestCheckedRevision()),
      wait: started === "watch",
    });
  }
}
