/**
 * Reads the published picture from the platform, or from a peer where the platform does not answer.
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
import { Currency } from "../customers/index.ts";
import {
  type CatalogueChanges,
  type CataloguePosition,
  type CatalogueSnapshot,
  type EndpointRecord,
  isAfter,
  isSamePosition,
  NO_POSITION,
  type PictureNews,
  type RouteTable,
  type RoutingDocument,
} from "../routes/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import { HeldCatalogue } from "./held_catalogue.ts";
import type { GatewayEmit } from "./messages.ts";
import { PeerCopies } from "./peer_copies.ts";
import { ReadProofs } from "./read_proofs.ts";
import { type AnswerStanding, EpochTracker } from "./epoch_tracker.ts";
import { ReturnGrace } from "./return_grace.ts";
import { ReadSchedule, type ReadScheduleOptions } from "./read_schedule.ts";

/** Beyond its wait a read may take so long: a slow service, and a silent connection. */
const READ_TIMEOUT_MS = 1_000;
/** For each record: large catalogues are not read by all entries in the same moment. */
const RESTORED_READ_SPREAD_MS = 0.1;

/** What another entry says of the picture that it holds. */
export interface ToldPicture {
  readonly version: Revision;
  readonly position: CataloguePosition;
  /** What led there from the own revision, where it is little. */
  readonly news: PictureNews | undefined;
  /** When its document was known to be the newest. */
  readonly at: Instant;
  /** Where it can be copied. */
  readonly from: string;
}

/** Writes the catalogue. */
export class CatalogueController implements CatalogueView {
  wholeReads = 0;
  historyMisses = 0;
  confirmedAt: Instant | undefined;
  reachable = false;
  readonly currency = new Currency();
  readonly #emit: GatewayEmit;
  readonly #schedule: ReadSchedule;
  readonly #isResting: () => boolean;
  readonly #held = new HeldCatalogue({
    adopted: ({ version, routes }) => {
      this.currency.hold(version);
      this.#log("Document is in force.", { version, routes: routes.length });
    },
    log: (text, fields) => this.#log(text, fields),
  });
  readonly #epochs = new EpochTracker();
  #snapshotWanted = true;
  /** Whether the whole read that is wanted is of another epoch than what is held. */
  #restored = false;
  readonly #grace: ReturnGrace;
  readonly #proofs: ReadProofs;
  readonly #copies: PeerCopies;
  /** Of the read under way. */
  #sentAt: Instant;
  #timeout = milliseconds(0);
  /** A later epoch than the one held that another entry told. */
  #toldEpoch = NO_POSITION.epoch;
  constructor(
    { emit, newestHolder, newestDocument, now, ...schedule }:
      & ReadScheduleOptions
      & {
        emit: GatewayEmit;
        /** Peer with the newest catalogue. */
        newestHolder: () => CatalogueHolder | undefined;
        /** Peer with the newest document. */
        newestDocument: () => DocumentHolder | undefined;
        now: Instant;
      },
  ) {
    this.#emit = emit;
    this.#isResting = schedule.resting;
    this.#schedule = new ReadSchedule(schedule, now);
    this.#grace = new ReturnGrace(now);
    this.#proofs = new ReadProofs({ currency: this.currency, newestDocument });
    this.#copies = new PeerCopies({ emit, newestHolder }, now);
    this.#sentAt = now;
  }

  /** Whether requests name customers, by keys that may be taken away. */
  get keyed(): boolean {
    return this.table?.customers.required ?? false;
  }

  get position(): CataloguePosition {
    return this.#held.position;
  }

  get table(): RouteTable | undefined {
    return this.#held.table;
  }

  get generation(): number {
    return this.#held.generation;
  }

  get document(): RoutingDocument | undefined {
    return this.#held.document;
  }

  get endpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.#held.endpoints;
  }

  get evacuated(): ReadonlySet<ZoneId> {
    return this.#held.evacuated;
  }

  get picture(): number {
    return this.#held.picture;
  }

  get failing(): boolean {
    return this.#schedule.failures > 0;
  }

  /** Starts reads that are due. */
  tick(now: Instant): void {
    this.#held.expire(now);
    if (this.#schedule.begin(now)) {
      this.#read(now);
    }
    if (this.#schedule.isOverdue(now)) {
      this.#copies.askForNewer(this.position, now);
    }
  }

  /** A woken process must not go on with what was true before: it reads at once. */
  woke(now: Instant): void {
    this.#schedule.readAtOnce(now);
  }

  isOld(now: Instant): boolean {
    return this.table !== undefined && this.#schedule.isOld(now);
  }

  /** A peer that carries has told of its picture. */
  noteOther(picture: number, now: Instant): void {
    if (picture !== this.picture) {
      this.#schedule.noteOther(now);
    }
  }

  /** A request has come after a rest: reads at once where that is due. */
  noteUse(now: Instant): void {
    this.#schedule.noteUse(now);
    this.tick(now);
  }

  /** Takes a whole picture from the platform. */
  read(snapshot: CatalogueSnapshot, now: Instant): void {
    const standing = this.#answered(snapshot.epoch, { whole: true }, now);
    const behind = isAfter(this.position, this.#held.positionOf(snapshot));
    if (standing === "late" || (behind && this.#hasMoved)) {
      return this.#schedule.readAtOnce(now);
    }
    this.wholeReads++;
    this.#schedule.noteWhole(now);
    if (standing === "restored" || behind) {
      this.#noteRestore(now);
    }
    if (this.#restored) {
      this.#restore(snapshot, now);
    } else {
      this.#held.replace(snapshot, this.#keptUntil(now));
    }
    this.#snapshotWanted = false;
    this.#restored = false;
    this.#noteCurrent({ whole: true }, now);
  }

  /** A verified read found nothing newer. */
  confirmed(epoch: CatalogueEpoch | undefined, now: Instant): void {
    const standing = this.#answered(epoch, { whole: false }, now);
    if (standing !== "current") {
      return this.#readAnew(standing, now);
    }
    this.#noteCurrent({ whole: true }, now);
  }

  /**
   * Another entry tells what it holds, and when its document was known to be the newest. What it holds of an
   * earlier epoch is older, however high its revision is.
   */
  told(picture: ToldPicture, now: Instant): void {
    const { epoch } = picture.position;
    if (epoch > this.position.epoch) {
      this.#toldRestored(picture, now);
    } else if (epoch === this.position.epoch) {
      this.#toldSameEpoch(picture, now);
    }
  }

  #toldSameEpoch(
    { version, position: { revision }, news, at, from }: ToldPicture,
    now: Instant,
  ): void {
    if (news !== undefined && revision > this.position.revision) {
      this.#held.follow(news, this.#keptUntil(now));
    }
    const held = this.position.revision;
    const sameDocument = version === this.document?.version;
    if (revision === held) {
      this.#schedule.noteConfirmed(at, now);
    } else if (this.#isResting() && sameDocument) {
      this.#schedule.noteBehind();
    } else if (revision > held && this.failing) {
      this.#copies.ask(from, now);
    } else if (revision > held) {
      this.#proofs.noteTold(revision);
      this.#schedule.readAtOnce(now);
    }
  }

  /** The platform was restored, which this entry has not read yet. */
  #toldRestored({ from, position }: ToldPicture, now: Instant): void {
    if (position.epoch > this.#toldEpoch) {
      this.#toldEpoch = position.epoch;
      this.#proofs.noteRestore(now);
    }
    if (this.failing) {
      this.#copies.ask(from, now);
    } else if (!this.#snapshotWanted) {
      this.#readEverything(now);
    }
  }

  /** What changed since a position, for a peer that holds it. */
  newsSince(position: CataloguePosition): PictureNews | undefined {
    return this.#held.newsSince(position);
  }

  /** The picture for a peer. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.#held.snapshot();
  }

  noteDoubt(now: Instant): boolean {
    if (!this.failing) {
      this.#schedule.noteDoubt(now);
      this.tick(now);
    }
    return !this.failing;
  }

  /** Takes changes from the platform. */
  changed(news: CatalogueChanges, now: Instant): void {
    const standing = this.#answered(news.epoch, { whole: false }, now);
    if (standing !== "current") {
      return this.#readAnew(standing, now);
    }
    if (news.revision < this.position.revision) {
      return this.#readAnew(this.#hasMoved ? "late" : "restored", now);
    }
    this.#held.follow(news, this.#keptUntil(now));
    this.#noteCurrent({ whole: false }, now);
  }

  /** The platform has forgotten the changes since our revision. */
  compacted(epoch: CatalogueEpoch | undefined, now: Instant): void {
    const standing = this.#answered(epoch, { whole: false }, now);
    if (standing !== "current") {
      return this.#readAnew(standing, now);
    }
    this.historyMisses++;
    this.#log("Changes are not available, reading everything.", {
      after: this.position.revision,
    });
    this.#schedule.noteNothingRead();
    this.#snapshotWanted = true;
    this.#schedule.readAtOnce(now);
  }

  /** The platform did not answer. */
  failed(detail: string, now: Instant): void {
    this.#schedule.failed(now);
    // A read that runs into its limit may have hung since before the platform returned.
    const timedOut = now - this.#sentAt >= this.#timeout;
    this.#grace.noteBefore(timedOut ? this.#sentAt : now);
    // A watch may have hung and missed changes.
    this.#snapshotWanted = this.#snapshotWanted || this.#schedule.failures > 1;
    if (this.reachable) {
      this.reachable = false;
      this.#log("Platform does not answer.", { detail });
    }
  }

  /** Takes a peer's picture if it is newer than ours. */
  copied(snapshot: CatalogueSnapshot | undefined, now: Instant): void {
    if (snapshot === undefined) {
      return;
    }
    if (snapshot.document !== undefined) {
      this.#held.adopt(snapshot.document);
    }
    const { epoch = this.position.epoch, revision } = snapshot;
    if (!isAfter({ epoch, revision }, this.position)) {
      return;
    }
    const keptUntil = this.#keptUntil(now);
    if (epoch === this.position.epoch) {
      this.#held.replace(snapshot, keptUntil);
    } else {
      this.#held.restore(snapshot, { keptUntil, now });
      this.#proofs.noteRestore(now);
      // What the platform lacks of it is for an own read to tell.
      this.#snapshotWanted = true;
    }
    this.#epochs.adopt(this.position);
    this.#log("Took the catalogue from a peer.", { ...this.position });
  }

  #read(now: Instant): void {
    const changesOnly = !this.#snapshotWanted &&
      !this.#schedule.isWholeDue(now);
    const wait = changesOnly ? this.#schedule.wait(now) : 0;
    this.#epochs.ask(this.position);
    const proof = this.#proofs.ask(this.#held, { keyed: this.keyed, now });
    this.#sentAt = now;
    this.#timeout = milliseconds(READ_TIMEOUT_MS + wait);
    this.#emit({
      kind: "readCatalogue",
      proof,
      after: changesOnly ? this.position.revision : undefined,
      wait: milliseconds(wait),
      timeout: this.#timeout,
    });
  }

  /** Whether what is held has moved on since the last read was sent. */
  get #hasMoved(): boolean {
    return !isSamePosition(this.#epochs.asked, this.position);
  }

  /** An answer cannot be applied to what is held. */
  #readAnew(standing: "restored" | "late", now: Instant): void {
    this.#schedule.noteNothingRead();
    if (standing === "late") {
      return this.#schedule.readAtOnce(now);
    }
    this.#noteRestore(now);
    this.#readEverything(now);
  }

  /** The next whole read is of another epoch than what is held. */
  #noteRestore(now: Instant): void {
    if (!this.#restored) {
      this.#restored = true;
      this.#grace.noteRestore(now);
      this.#proofs.noteRestore(now);
    }
  }

  /** What is held is of the platform's present epoch. */
  #noteCurrent({ whole }: { whole: boolean }, now: Instant): void {
    if (!this.#restored) {
      this.#grace.noteBefore(now);
    }
    const holder = this.#proofs.judge(this.#held, { whole, now });
    if (holder !== undefined) {
      this.#copies.ask(holder.address, now);
    }
  }

  /** All entries do so at a restore. */
  #readEverything(now: Instant): void {
    this.#snapshotWanted = true;
    const spread = this.endpoints.size * RESTORED_READ_SPREAD_MS;
    this.#schedule.readWithin(milliseconds(spread), now);
  }

  #restore(snapshot: CatalogueSnapshot, now: Instant): void {
    const { position: from, document } = this.#held;
    const keptUntil = this.#keptUntil(now);
    this.#held.restore(snapshot, { keptUntil, now });
    this.#log("Platform was restored, read everything anew.", {
      fromEpoch: from.epoch,
      fromRevision: from.revision,
      toEpoch: this.position.epoch,
      toRevision: this.position.revision,
      version: snapshot.document?.version,
      heldVersion: document?.version,
      endpoints: snapshot.endpoints.length,
      ...this.#held.doubted,
      keptMs: Math.round((keptUntil ?? now) - now),
    });
  }

  #answered(
    epoch: CatalogueEpoch | undefined,
    { whole }: { whole: boolean },
    now: Instant,
  ): AnswerStanding {
    const returned = this.#schedule.answered(now);
    this.confirmedAt = now;
    if (!this.reachable) {
      this.reachable = true;
      this.#log("Platform answers.", { ...this.position });
    }
    const standing = this.#epochs.judge(epoch, { held: this.position, whole });
    if (returned) {
      this.#grace.noteReturn(now);
    }
    return standing;
  }

  /** Until when a missing record may be the platform's fault, `undefined` in calm times. */
  #keptUntil(now: Instant): Instant | undefined {
    return this.failing
      ? this.#grace.keptWhileAway(now)
      : this.#grace.keptUntil(now);
  }

  #log(text: string, fields: Readonly<Record<string, unknown>>): void {
    this.#emit({ kind: "log", part: "catalogue", text, fields });
  }
}

/** How old the picture may be, for reports. */
export function catalogueAge(
  view: CatalogueView,
  now: Instant,
): Milliseconds | undefined {
  return view.confirmedAt === undefined
    ? undefined
    : milliseconds(now - view.confirmedAt);
}
