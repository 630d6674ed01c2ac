/**
 * Keeps the local catalogue up to date by reading the platform, or by copying from a peer while the platform
 * does not answer.
 *
 * @module
 */
import {
  type CatalogueEpoch,
  type EndpointId,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Revision,
  type ZoneId,
} from "../ids/index.ts";
import type { CatalogueHolder, DocumentHolder } from "../fleet/index.ts";
import { DocumentFreshness } from "../customers/index.ts";
import {
  type CatalogueChanges,
  type CatalogueDelta,
  type CataloguePosition,
  type CatalogueSnapshot,
  type EndpointRecord,
  isLaterPosition,
  isSamePosition,
  NO_POSITION,
  type RouteTable,
  type RoutingDocument,
} from "../routes/index.ts";
import { CatalogueConfirmation } from "./catalogue_confirmation.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import { LocalCatalogue } from "./local_catalogue.ts";
import type { GatewayEmit, NewestPosition } from "./messages.ts";
import { PeerCopies } from "./peer_copies.ts";
import { FreshnessProofs } from "./freshness_proofs.ts";
import { type AnswerValidity, EpochTracker } from "./epoch_tracker.ts";
import { MissingRecordGrace } from "./missing_record_grace.ts";
import { ReadSchedule, type ReadScheduleOptions } from "./read_schedule.ts";

/**
 * How long a read may take in addition to its long poll, before a slow service or a silent connection counts
 * as a failure.
 */
const READ_TIMEOUT_MS = 1_000;
/**
 * After a restore the full reads of all entries are spread over this time per record, so that they don't
 * read a large catalogue all at once.
 */
const RESTORED_READ_SPREAD_MS = 0.1;

/** What a peer reports about its catalogue. */
export interface PeerCatalogueReport {
  readonly version: Revision;
  readonly position: CataloguePosition;
  /** The changes since the local revision, if they are few. */
  readonly news: CatalogueDelta | undefined;
  /** When the peer's document was known to be the newest. */
  readonly at: Instant;
  /** Address of the peer, from which the catalogue can be copied. */
  readonly from: string;
}

/** Decides when to read the catalogue, and applies the answers. */
export class CatalogueController implements CatalogueView {
  fullReads = 0;
  compactedReads = 0;
  lastAnsweredAt: Instant | undefined;
  reachable = false;
  readonly documentFreshness = new DocumentFreshness();
  readonly #emit: GatewayEmit;
  readonly #schedule: ReadSchedule;
  readonly #isStandby: () => boolean;
  readonly #local = new LocalCatalogue({
    onDocument: ({ version, routes }) => {
      this.documentFreshness.setHeldVersion(version);
      this.#log("Document is in force.", { version, routes: routes.length });
    },
    log: (text, fields) => this.#log(text, fields),
  });
  readonly #epochs = new EpochTracker();
  #fullReadNeeded = true;
  /** Whether the full read that is needed will return another epoch than the local one. */
  #restorePending = false;
  readonly #grace: MissingRecordGrace;
  readonly #freshness: FreshnessProofs;
  readonly #copies: PeerCopies;
  readonly #confirmation: CatalogueConfirmation;
  /** When the read under way was sent, and its timeout. */
  #readSentAt: Instant;
  #readTimeout = milliseconds(0);
  /** Whether this process was paused after it sent that read. */
  #pausedSinceRead = false;
  /** The highest epoch later than the local one that a peer reported. */
  #highestPeerEpoch = NO_POSITION.epoch;
  constructor(
    { emit, newestHolder, newestDocument, now, ...schedule }:
      & ReadScheduleOptions
      & {
        emit: GatewayEmit;
        /** Returns the peer with the newest catalogue. */
        newestHolder: () => CatalogueHolder | undefined;
        /** Returns the peer with the newest document. */
        newestDocument: () => DocumentHolder | undefined;
        now: Instant;
      },
  ) {
    this.#emit = emit;
    this.#isStandby = schedule.isStandby;
    this.#schedule = new ReadSchedule(schedule, now);
    this.#grace = new MissingRecordGrace(now);
    this.#freshness = new FreshnessProofs({
      documentFreshness: this.documentFreshness,
      newestDocument,
    });
    this.#copies = new PeerCopies({ emit, newestHolder }, now);
    this.#confirmation = new CatalogueConfirmation(emit);
    this.#readSentAt = now;
  }

  /** Whether requests have to identify their customer by a key, which can be revoked. */
  get requiresKeys(): boolean {
    return this.table?.customers.requiresKeys ?? false;
  }

  get position(): CataloguePosition {
    return this.#local.position;
  }

  get table(): RouteTable | undefined {
    return this.#local.table;
  }

  get generation(): number {
    return this.#local.generation;
  }

  get document(): RoutingDocument | undefined {
    return this.#local.document;
  }

  get endpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.#local.endpoints;
  }

  get evacuatedZones(): ReadonlySet<ZoneId> {
    return this.#local.evacuated;
  }

  get contentHash(): number {
    return this.#local.contentHash;
  }

  get failing(): boolean {
    return this.#schedule.failures > 0;
  }

  get confirmedAt(): Instant | undefined {
    return this.#confirmation.confirmedAt;
  }

  confirm(now: Instant): void {
    this.#confirmation.request(now);
  }

  /** Handles the platform's newest position, and reads at once if the local catalogue is behind it. */
  handleNewest(newest: NewestPosition | undefined, now: Instant): void {
    if (this.#confirmation.receive(newest, this.position)) {
      this.readAtOnce(now);
    }
  }

  /** Starts a read if one is due. */
  tick(now: Instant): void {
    this.#local.expire(now);
    if (this.#schedule.beginIfDue(now)) {
      this.#read(now);
    }
    if (this.#schedule.isOverdue(now)) {
      this.#copies.requestNewer(this.position, now);
    }
  }

  /** After a pause of the process, reads at once: the catalogue may be outdated. */
  handleWakeUp(now: Instant): void {
    this.#pausedSinceRead = true;
    this.#schedule.readAtOnce(now);
  }

  /** Reads the platform now, because a peer holds a newer document. */
  readAtOnce(now: Instant): void {
    this.#schedule.readAtOnce(now);
    this.tick(now);
  }

  /** Copies the catalogue of a peer that holds a newer document. */
  copyFrom(address: string, now: Instant): void {
    this.#copies.request(address, now);
  }

  isStale(now: Instant): boolean {
    return this.table !== undefined && this.#schedule.isStale(now);
  }

  /** Records the catalogue hash that a serving peer reported. */
  notePeerCatalogue(hash: number, now: Instant): void {
    if (hash !== this.contentHash) {
      this.#schedule.hastenForPeerCatalogue(now);
    }
  }

  /** The entry leaves standby because of a request. Reads at once if a read is due by then. */
  leaveStandby(now: Instant): void {
    this.#schedule.hastenAfterStandby(now);
    this.tick(now);
  }

  /** Applies the answer to a full read. */
  applySnapshot(snapshot: CatalogueSnapshot, now: Instant): void {
    const validity = this.#noteAnswer(
      snapshot.epoch,
      { isFullRead: true },
      now,
    );
    const isBehind = isLaterPosition(
      this.position,
      this.#local.positionOf(snapshot),
    );
    if (validity === "late" || (isBehind && this.#hasChangedSinceRead)) {
      return this.#schedule.readAtOnce(now);
    }
    this.fullReads++;
    this.#schedule.noteFullRead(now);
    if (validity === "restored" || isBehind) {
      this.#noteRestore(now);
    }
    if (this.#restorePending) {
      this.#applyRestoredSnapshot(snapshot, now);
    } else {
      this.#local.applySnapshot(snapshot, this.#keptUntil(now));
    }
    this.#fullReadNeeded = false;
    this.#restorePending = false;
    this.#noteCurrentEpoch({ isFullRead: true }, now);
  }

  /** Applies the answer to a verified read that found nothing newer. */
  applyConfirmation(epoch: CatalogueEpoch | undefined, now: Instant): void {
    const validity = this.#noteAnswer(epoch, { isFullRead: false }, now);
    if (validity !== "current") {
      return this.#discardAnswer(validity, now);
    }
    this.#noteCurrentEpoch({ isFullRead: true }, now);
  }

  /**
   * Applies a peer's report of its catalogue, and of when its document was known to be the newest. A
   * catalogue of an earlier epoch is older, however high its revision is.
   */
  applyPeerReport(report: PeerCatalogueReport, now: Instant): void {
    const { epoch } = report.position;
    if (epoch > this.position.epoch) {
      this.#applyReportOfLaterEpoch(report, now);
    } else if (epoch === this.position.epoch) {
      this.#applyReportOfSameEpoch(report, now);
    }
  }

  #applyReportOfSameEpoch(
    { version, position: { revision }, news, at, from }: PeerCatalogueReport,
    now: Instant,
  ): void {
    if (news !== undefined && revision > this.position.revision) {
      this.#local.applyChanges(news, this.#keptUntil(now));
    }
    const localRevision = this.position.revision;
    const sameDocument = version === this.document?.version;
    if (revision === localRevision) {
      this.#schedule.noteConfirmed(at, now);
    } else if (this.#isStandby() && sameDocument) {
      this.#schedule.postponeOnStandby();
    } else if (revision > localRevision && this.failing) {
      this.#copies.request(from, now);
    } else if (revision > localRevision) {
      this.#freshness.notePeerRevision(revision);
      this.#schedule.readAtOnce(now);
    }
  }

  /** A peer reports that the platform was restored, which this entry has not read yet. */
  #applyReportOfLaterEpoch(
    { from, position }: PeerCatalogueReport,
    now: Instant,
  ): void {
    if (position.epoch > this.#highestPeerEpoch) {
      this.#highestPeerEpoch = position.epoch;
      this.#freshness.noteRestore(now);
    }
    if (this.failing) {
      this.#copies.request(from, now);
    } else if (!this.#fullReadNeeded) {
      this.#scheduleFullRead(now);
    }
  }

  /** The changes since a position, for a peer that has the catalogue as of that position. */
  changesSince(position: CataloguePosition): CatalogueDelta | undefined {
    return this.#local.changesSince(position);
  }

  /** The catalogue for a peer. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.#local.snapshot();
  }

  readForUnknownKey(now: Instant): boolean {
    if (!this.failing) {
      this.#schedule.hastenForUnknownKey(now);
      this.tick(now);
    }
    return !this.failing;
  }

  /** Applies the answer to a read of changes. */
  applyChanges(answer: CatalogueChanges, now: Instant): void {
    const validity = this.#noteAnswer(answer.epoch, { isFullRead: false }, now);
    if (validity !== "current") {
      return this.#discardAnswer(validity, now);
    }
    if (answer.revision < this.position.revision) {
      return this.#discardAnswer(
        this.#hasChangedSinceRead ? "late" : "restored",
        now,
      );
    }
    this.#local.applyChanges(answer, this.#keptUntil(now));
    this.#noteCurrentEpoch({ isFullRead: false }, now);
  }

  /** The platform has compacted the changes since the local revision. */
  handleCompaction(epoch: CatalogueEpoch | undefined, now: Instant): void {
    const validity = this.#noteAnswer(epoch, { isFullRead: false }, now);
    if (validity !== "current") {
      return this.#discardAnswer(validity, now);
    }
    this.compactedReads++;
    this.#log("Changes are not available, reading everything.", {
      after: this.position.revision,
    });
    this.#schedule.revertAnswer();
    this.#fullReadNeeded = true;
    this.#schedule.readAtOnce(now);
  }

  /** The platform did not answer a read. */
  handleFailure(detail: string, now: Instant): void {
    this.#schedule.noteFailure(now);
    // A read that times out may have hung since before the platform came back.
    const timedOut = now - this.#readSentAt >= this.#readTimeout;
    this.#grace.noteFailure(timedOut ? this.#readSentAt : this.#readEndAt(now));
    // A read that waited for changes may have hung and missed some.
    this.#fullReadNeeded = this.#fullReadNeeded || this.#schedule.failures > 1;
    if (this.reachable) {
      this.reachable = false;
      this.#log("Platform does not answer.", { detail });
    }
  }

  /** Applies a peer's copy of the catalogue if it is newer than the local one. */
  applyPeerCopy(snapshot: CatalogueSnapshot | undefined, now: Instant): void {
    if (snapshot === undefined) {
      return;
    }
    if (snapshot.document !== undefined) {
      this.#local.adoptDocument(snapshot.document);
    }
    const { epoch = this.position.epoch, revision } = snapshot;
    if (!isLaterPosition({ epoch, revision }, this.position)) {
      return;
    }
    if (epoch === this.position.epoch) {
      this.#local.applySnapshot(snapshot, this.#keptUntil(now));
    } else {
      this.#grace.noteRestore(now);
      const keptUntil = this.#keptUntil(now);
      this.#local.applyRestoredSnapshot(snapshot, { keptUntil, now });
      this.#freshness.noteRestore(now);
      // Only this entry's own full read shows which parts of the copy the restored platform is missing.
      this.#fullReadNeeded = true;
    }
    this.#epochs.notePeerCopy(this.position);
    this.#log("Took the catalogue from a peer.", { ...this.position });
  }

  #read(now: Instant): void {
    const changesOnly = !this.#fullReadNeeded &&
      !this.#schedule.isFullReadDue(now);
    const wait = changesOnly ? this.#schedule.longPollTime(now) : 0;
    this.#epochs.noteRead(this.position);
    const proof = this.#freshness.prepareRead(this.#local, {
      requiresKeys: this.requiresKeys,
      now,
    });
    this.#readSentAt = now;
    this.#readTimeout = milliseconds(READ_TIMEOUT_MS + wait);
    this.#pausedSinceRead = false;
    this.#emit({
      kind: "readCatalogue",
      proof,
      after: changesOnly ? this.position.revision : undefined,
      wait: milliseconds(wait),
      timeout: this.#readTimeout,
    });
  }

  /** When the last read ended at the earliest: an answer or failure may have waited for the end of a pause. */
  #readEndAt(now: Instant): Instant {
    return this.#pausedSinceRead ? this.#readSentAt : now;
  }

  /** Whether the local catalogue has changed since the last read was sent. */
  get #hasChangedSinceRead(): boolean {
    return !isSamePosition(this.#epochs.readPosition, this.position);
  }

  /** Discards an answer that cannot be applied to the local catalogue, and schedules another read. */
  #discardAnswer(validity: "restored" | "late", now: Instant): void {
    this.#schedule.revertAnswer();
    if (validity === "late") {
      return this.#schedule.readAtOnce(now);
    }
    this.#noteRestore(now);
    this.#scheduleFullRead(now);
  }

  /** Records that the next full read will return another epoch than the local one. */
  #noteRestore(now: Instant): void {
    if (!this.#restorePending) {
      this.#restorePending = true;
      this.#grace.noteRestore(now);
      this.#freshness.noteRestore(now);
    }
  }

  /**
   * Records that the local catalogue belongs to the epoch of the platform's last answer, and evaluates what
   * that answer proves about the document.
   */
  #noteCurrentEpoch(
    { isFullRead }: { isFullRead: boolean },
    now: Instant,
  ): void {
    if (!this.#restorePending) {
      this.#grace.noteAnswer(this.#readEndAt(now));
    }
    this.#confirmation.notePosition(this.position);
    const holder = this.#freshness.evaluate(this.#local, { isFullRead, now });
    if (holder !== undefined) {
      this.#copies.request(holder.address, now);
    }
  }

  /** Schedules a full read at a random time. After a restore all entries need one. */
  #scheduleFullRead(now: Instant): void {
    this.#fullReadNeeded = true;
    const spreadMs = this.endpoints.size * RESTORED_READ_SPREAD_MS;
    this.#schedule.readWithin(milliseconds(spreadMs), now);
  }

  #applyRestoredSnapshot(snapshot: CatalogueSnapshot, now: Instant): void {
    const { position: from, document } = this.#local;
    const keptUntil = this.#keptUntil(now);
    this.#local.applyRestoredSnapshot(snapshot, { keptUntil, now });
    this.#log("Platform was restored, read everything anew.", {
      fromEpoch: from.epoch,
      fromRevision: from.revision,
      toEpoch: this.position.epoch,
      toRevision: this.position.revision,
      version: snapshot.document?.version,
      heldVersion: document?.version,
      endpoints: snapshot.endpoints.length,
      ...this.#local.uncertainCounts,
      keptMs: Math.round((keptUntil ?? now) - now),
    });
  }

  #noteAnswer(
    epoch: CatalogueEpoch | undefined,
    { isFullRead }: { isFullRead: boolean },
    now: Instant,
  ): AnswerValidity {
    const returned = this.#schedule.noteAnswer(now);
    this.lastAnsweredAt = now;
    if (!this.reachable) {
      this.reachable = true;
      this.#log("Platform answers.", { ...this.position });
    }
    const validity = this.#epochs.classify(epoch, {
      position: this.position,
      isFullRead,
    });
    if (returned) {
      this.#grace.noteOutageEnd(now);
    }
    return validity;
  }

  /**
   * Until when an endpoint whose record is missing is still used, because the platform may have lost the
   * record. `undefined` if there was no recent outage or restore.
   */
  #keptUntil(now: Instant): Instant | undefined {
    return this.failing
      ? this.#grace.keptUntilDuringOutage(now)
      : this.#grace.keptUntil(now);
  }

  #log(text: string, fields: Readonly<Record<string, unknown>>): void {
    this.#emit({ kind: "log", part: "catalogue", text, fields });
  }
}

/** Time since the platform last answered, for reports. */
export function catalogueAge(
  view: CatalogueView,
  now: Instant,
): Milliseconds | undefined {
  return view.lastAnsweredAt === undefined
    ? undefined
    : milliseconds(now - view.lastAnsweredAt);
}
