/**
 * The published picture as this entry holds it: document, endpoints, evacuations. Read from the
 * platform, or from a peer where the platform does not answer.
 *
 * @module
 */
import {
  after,
  type CatalogueEpoch,
  type EndpointId,
  hash32,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Revision,
  type ZoneId,
} from "../ids/index.ts";
import { Currency, type CurrencyMark } from "../customers/index.ts";
import {
  type CatalogueChange,
  type CatalogueChanges,
  type CataloguePosition,
  type CatalogueSnapshot,
  type EndpointRecord,
  isAfter,
  isSamePosition,
  NO_POSITION,
  type PictureNews,
  RouteTable,
  type RoutingDocument,
} from "../routes/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit, ReadProof } from "./messages.ts";
import { EndpointRecords } from "./endpoint_records.ts";
import { Evacuations } from "./evacuations.ts";
import { type AnswerStanding, EpochTracker } from "./epoch_tracker.ts";
import { RecentChanges } from "./recent_changes.ts";
import { ReturnGrace } from "./return_grace.ts";
import { ReadSchedule, type ReadScheduleOptions } from "./read_schedule.ts";

/** Beyond its wait a read may take so long: a slow service, and a silent connection. */
const READ_TIMEOUT_MS = 1_000;
/** Between two copies from peers. */
const COPY_PAUSE_MS = 1_200;
const COPY_TIMEOUT_MS = 1_000;
/**
 * An endpoint that is gone, and whose record a copy brought back, may be used after this: by then the
 * platform has removed the records of all that no longer write.
 */
const DEPARTED_WITHHELD_MS = 5_000;
/**
 * A zone stays evacuated for so long although a copy lacks it. Operators write again what was lost; until
 * then a zone that is wrongly left alone costs capacity, one that is wrongly used costs requests.
 */
const EVACUATION_KEPT_MS = 10_000;
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
  position = NO_POSITION;
  wholeReads = 0;
  historyMisses = 0;
  table: RouteTable | undefined;
  generation = 0;
  confirmedAt: Instant | undefined;
  reachable = false;
  readonly currency = new Currency();
  /** For peers that are behind by a few changes. */
  readonly #recent = new RecentChanges();
  readonly #emit: GatewayEmit;
  readonly #schedule: ReadSchedule;
  readonly #isResting: () => boolean;
  readonly #newestHolder: () =>
    | { address: string; position: CataloguePosition }
    | undefined;
  readonly #records = new EndpointRecords();
  readonly #evacuations = new Evacuations();
  readonly #epochs = new EpochTracker();
  #picture = 0;
  /** The generation that it was made of. */
  #pictureOf = -1;
  #snapshotWanted = true;
  /** Whether the whole read that is wanted is of another epoch than what is held. */
  #restored = false;
  readonly #grace: ReturnGrace;
  /** Of the read under way. */
  #sentAt: Instant;
  #timeout = milliseconds(0);
  #nextCopyAt: Instant;
  /** When the read under way was sent, and whether its answer tells the present state. */
  #readMark: CurrencyMark | undefined;
  #verifies = false;
  /** A newer revision of the epoch held that another entry told. */
  #toldRevision: Revision | undefined;

  constructor(
    { emit, newestHolder, now, ...schedule }: ReadScheduleOptions & {
      emit: GatewayEmit;
      /** Peer with the newest catalogue. */
      newestHolder: () =>
        | { address: string; position: CataloguePosition }
        | undefined;
      now: Instant;
    },
  ) {
    this.#emit = emit;
    this.#newestHolder = newestHolder;
    this.#isResting = schedule.resting;
    this.#schedule = new ReadSchedule(schedule, now);
    this.#nextCopyAt = now;
    this.#grace = new ReturnGrace(now);
    this.#sentAt = now;
  }

  /** Whether requests name customers, by keys that may be taken away. */
  get keyed(): boolean {
    return this.table?.customers.required ?? false;
  }

  get endpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.#records.all;
  }

  get evacuated(): ReadonlySet<ZoneId> {
    return this.#evacuations.zones;
  }

  get document(): RoutingDocument | undefined {
    return this.table?.document;
  }

  get failing(): boolean {
    return this.#schedule.failures > 0;
  }

  /** Starts reads that are due. */
  tick(now: Instant): void {
    const endpoints = this.#records.expire(now);
    if (this.#evacuations.expire(now) || endpoints) {
      this.generation++;
    }
    if (this.#schedule.begin(now)) {
      this.#read(now);
    }
    this.#askPeer(now);
  }

  /** A woken process must not go on with what was true before: it reads at once. */
  woke(now: Instant): void {
    this.#schedule.readAtOnce(now);
  }

  /** Of all that decisions are made from; records that only beat do not change it. */
  get picture(): number {
    if (this.#pictureOf !== this.generation) {
      this.#pictureOf = this.generation;
      const endpoints = [...this.endpoints.values()]
        .map(({ id, life, state }) => `${id} ${life} ${state}`).sort();
      const zones = [...this.evacuated].sort();
      const version = this.document?.version ?? 0;
      this.#picture = hash32([version, ...zones, ...endpoints].join(";"));
    }
    return this.#picture;
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
    const behind = isAfter(this.position, this.#positionOf(snapshot));
    if (standing === "late" || (behind && this.#hasMoved)) {
      return this.#schedule.readAtOnce(now);
    }
    this.wholeReads++;
    if (standing === "restored" || this.#restored || behind) {
      this.#restore(snapshot, now);
    } else {
      this.#replace(snapshot, now);
    }
    this.#snapshotWanted = false;
    this.#restored = false;
    this.#prove();
  }

  /** The platform holds nothing newer. */
  confirmed(epoch: CatalogueEpoch | undefined, now: Instant): void {
    const standing = this.#answered(epoch, { whole: false }, now);
    if (standing === "current") {
      this.#prove();
    } else {
      this.#readAnew(standing, now);
    }
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
      this.#follow(news, now);
      this.generation++;
    }
    const held = this.position.revision;
    const sameDocument = version === this.document?.version;
    if (revision === held) {
      this.#schedule.noteConfirmed(at, now);
    } else if (this.#isResting() && sameDocument) {
      this.#schedule.noteBehind();
    } else if (revision > held && this.failing) {
      this.#copyFrom(from, now);
    } else if (revision > held) {
      this.#toldRevision = revision;
      this.#schedule.readAtOnce(now);
    }
  }

  /** The platform was restored, which this entry has not read yet. */
  #toldRestored({ from }: ToldPicture, now: Instant): void {
    if (this.failing) {
      this.#copyFrom(from, now);
    } else if (!this.#snapshotWanted) {
      this.#readEverything(now);
    }
  }

  /** What changed since a position, for a peer that holds it. */
  newsSince({ epoch, revision }: CataloguePosition): PictureNews | undefined {
    return epoch === this.position.epoch
      ? this.#recent.since(revision)
      : undefined;
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
    this.#follow(news, now);
    if (news.changes.length > 0) {
      this.generation++;
    }
    if (this.#verifies) {
      this.#prove();
    }
  }

  #follow({ revision, changes }: CatalogueChanges, now: Instant): void {
    this.#recent.note({ from: this.position.revision, to: revision, changes });
    changes.forEach((change) => this.#apply(change, now));
    this.position = { ...this.position, revision };
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
    if (
      snapshot === undefined ||
      !isAfter(this.#positionOf(snapshot), this.position)
    ) {
      return;
    }
    if (this.#positionOf(snapshot).epoch === this.position.epoch) {
      this.#replace(snapshot, now);
    } else {
      this.#replaceRestored(snapshot, now);
      // What the platform lacks of it is for an own read to tell.
      this.#snapshotWanted = true;
    }
    this.#epochs.adopt(this.position);
    this.#log("Took the catalogue from a peer.", { ...this.position });
  }

  /** The picture for a peer. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.document === undefined ? undefined : {
      ...this.position,
      document: this.document,
      endpoints: this.#records.published,
      evacuated: this.#evacuations.published,
    };
  }

  #read(now: Instant): void {
    const changesOnly = !this.#snapshotWanted;
    const wait = changesOnly ? this.#schedule.wait(now) : 0;
    this.#readMark = this.currency.mark(now);
    this.#epochs.ask(this.position);
    const proof = this.#proofFor();
    this.#verifies = proof.kind === "newest";
    this.#toldRevision = undefined;
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

  /** Peers compare epochs, so that the highest one is kept, also where the platform states a lower one. */
  #positionOf(
    { epoch, revision }: Pick<CatalogueSnapshot, "epoch" | "revision">,
  ): CataloguePosition {
    const held = this.position.epoch;
    return {
      epoch: Math.max(held, epoch ?? held) as CatalogueEpoch,
      revision,
    };
  }

  /** An answer cannot be applied to what is held. */
  #readAnew(standing: "restored" | "late", now: Instant): void {
    if (standing === "late") {
      return this.#schedule.readAtOnce(now);
    }
    this.#restored = true;
    this.#readEverything(now);
  }

  /** All entries do so at a restore. */
  #readEverything(now: Instant): void {
    this.#snapshotWanted = true;
    const spread = this.endpoints.size * RESTORED_READ_SPREAD_MS;
    this.#schedule.readWithin(milliseconds(spread), now);
  }

  /**
   * Takes a whole picture of another epoch. What is held counts from revisions that are given out again:
   * reading on from there, changes up to it would be missed, for good.
   */
  #restore(snapshot: CatalogueSnapshot, now: Instant): void {
    const from = this.position;
    const heldVersion = this.document?.version;
    this.#replaceRestored(snapshot, now);
    this.#log("Platform was restored, read everything anew.", {
      fromEpoch: from.epoch,
      fromRevision: from.revision,
      toEpoch: this.position.epoch,
      toRevision: this.position.revision,
      version: snapshot.document?.version,
      heldVersion,
      endpoints: snapshot.endpoints.length,
      keptEndpoints: this.#records.kept,
      keptMs: (this.#grace.keptUntil(now) ?? now) - now,
      withheldEndpoints: this.#records.withheld,
      keptZones: this.#evacuations.kept,
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
    if (standing === "restored") {
      this.#grace.noteRestore(now);
    } else if (returned) {
      this.#grace.noteReturn(now);
    }
    if (standing === "current" && !this.#restored) {
      this.#grace.noteBefore(now);
    }
    return standing;
  }

  /**
   * An entry that cannot read the platform serves on from old records: to endpoints that have left,
   * by a document that was replaced. One notices by refusals of endpoints long gone. A peer with a
   * newer picture passes it on.
   */
  #askPeer(now: Instant): void {
    if (!this.#schedule.isOverdue(now) || now < this.#nextCopyAt) {
      return;
    }
    const holder = this.#newestHolder();
    if (holder !== undefined && isAfter(holder.position, this.position)) {
      this.#copyFrom(holder.address, now);
    }
  }

  #copyFrom(address: string, now: Instant): void {
    if (now >= this.#nextCopyAt) {
      this.#nextCopyAt = after(now, COPY_PAUSE_MS);
      this.#emit({
        kind: "copyCatalogue",
        address,
        timeout: milliseconds(COPY_TIMEOUT_MS),
      });
    }
  }

  /** What is told to be newer was proven by who told it, so that one call brings what leads there. */
  #proofFor(): ReadProof {
    if (!this.keyed) {
      return { kind: "none" };
    }
    const revision = this.#toldRevision;
    return revision !== undefined && revision > this.position.revision
      ? { kind: "reaches", revision }
      : { kind: "newest" };
  }

  /** What was just read was the present state when its read was sent. */
  #prove(): void {
    if (this.#readMark !== undefined && this.document !== undefined) {
      const { version } = this.document;
      this.currency.prove({ version, at: this.#readMark });
    }
  }

  #replace(snapshot: CatalogueSnapshot, now: Instant): void {
    const { endpoints, evacuated } = snapshot;
    this.#records.replace(endpoints, this.#keptUntil(now));
    this.#evacuations.replace(evacuated);
    this.#hold(snapshot);
  }

  /**
   * Takes a whole picture of another epoch, in which what the platform had acknowledged may be missing, and
   * what was over may stand again.
   */
  #replaceRestored(snapshot: CatalogueSnapshot, now: Instant): void {
    const { endpoints, evacuated } = snapshot;
    this.#records.restore(endpoints, {
      keptUntil: this.#keptUntil(now),
      believedAt: after(now, DEPARTED_WITHHELD_MS),
    });
    this.#evacuations.replace(evacuated, after(now, EVACUATION_KEPT_MS));
    this.#hold(snapshot);
  }

  #hold(snapshot: CatalogueSnapshot): void {
    if (snapshot.document !== undefined) {
      this.#adopt(snapshot.document);
    }
    this.#recent.clear();
    this.position = this.#positionOf(snapshot);
    this.generation++;
  }

  #apply(change: CatalogueChange, now: Instant): void {
    switch (change.kind) {
      case "document":
        return this.#adopt(change.document);
      case "endpoint":
        return this.#records.put(change.record);
      case "endpointRemoved":
        return this.#records.remove(change.id, this.#keptUntil(now));
      case "evacuated":
        this.#evacuations.begin(change.zone);
        return this.#log("Zone is evacuated.", { zone: change.zone });
      case "evacuationEnded":
        this.#evacuations.end(change.zone);
        return this.#log("Zone is taken back.", { zone: change.zone });
    }
  }

  /** A document never goes back within a process's life, whatever a stale read says. */
  #adopt(document: RoutingDocument): void {
    if (document.version > (this.document?.version ?? 0)) {
      this.table = new RouteTable(document);
      this.currency.hold(document.version);
      this.#log("Document is in force.", {
        version: document.version,
        routes: document.routes.length,
      });
    }
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
