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
  type CatalogueSnapshot,
  type EndpointRecord,
  type PictureNews,
  RouteTable,
  type RoutingDocument,
  supersedes,
} from "../routes/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit, ReadProof } from "./messages.ts";
import { EndpointRecords } from "./endpoint_records.ts";
import { RecentChanges } from "./recent_changes.ts";
import { ReadSchedule, type ReadScheduleOptions } from "./read_schedule.ts";

/** Beyond its wait a read may take so long: a slow service, and a silent connection. */
const READ_TIMEOUT_MS = 1_000;
/** Between two copies from peers. */
const COPY_PAUSE_MS = 1_200;
const COPY_TIMEOUT_MS = 1_000;
/**
 * Endpoints' records run out while the platform is down, and are back within two seconds of its
 * return. Dropping them at once would leave nothing to serve from.
 */
const RETURN_GRACE_MS = 2_200;

/** What another entry says of the picture that it holds. */
export interface ToldPicture {
  readonly version: Revision;
  readonly revision: Revision;
  /** What led there from the own revision, where it is little. */
  readonly news: PictureNews | undefined;
  /** When its document was known to be the newest. */
  readonly at: Instant;
  /** Where it can be copied. */
  readonly from: string;
}

/** Writes the catalogue. */
export class CatalogueController implements CatalogueView {
  revision = 0 as Revision;
  epoch: CatalogueEpoch | undefined;
  wholeReads = 0;
  historyMisses = 0;
  table: RouteTable | undefined;
  generation = 0;
  confirmedAt: Instant | undefined;
  reachable = false;
  readonly currency = new Currency();
  /** For peers that are behind by a few changes. */
  readonly recent = new RecentChanges();
  readonly evacuated = new Set<ZoneId>();
  readonly #emit: GatewayEmit;
  readonly #schedule: ReadSchedule;
  readonly #isResting: () => boolean;
  readonly #newestHolder: () =>
    | { address: string; revision: Revision }
    | undefined;
  readonly #records = new EndpointRecords();
  #picture = 0;
  /** The generation that it was made of. */
  #pictureOf = -1;
  #snapshotWanted = true;
  #failedAt: Instant | undefined;
  #returnedAt: Instant | undefined;
  #nextCopyAt: Instant;
  /** When the read under way was sent, and whether its answer tells the present state. */
  #readMark: CurrencyMark | undefined;
  #verifies = false;
  /** A newer revision that another entry told. */
  #toldRevision: Revision | undefined;

  constructor(
    { emit, newestHolder, now, ...schedule }: ReadScheduleOptions & {
      emit: GatewayEmit;
      /** Peer with the newest catalogue. */
      newestHolder: () => { address: string; revision: Revision } | undefined;
      now: Instant;
    },
  ) {
    this.#emit = emit;
    this.#newestHolder = newestHolder;
    this.#isResting = schedule.resting;
    this.#schedule = new ReadSchedule(schedule, now);
    this.#nextCopyAt = now;
  }

  /** Whether requests name customers, by keys that may be taken away. */
  get keyed(): boolean {
    return this.table?.customers.required ?? false;
  }

  get endpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.#records.all;
  }

  get document(): RoutingDocument | undefined {
    return this.table?.document;
  }

  get failing(): boolean {
    return this.#schedule.failures > 0;
  }

  /** Starts reads that are due. */
  tick(now: Instant): void {
    if (this.#records.expire(now)) {
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
    this.#answered(now);
    this.#noteEpoch(snapshot.epoch);
    this.#noteWhole(snapshot);
    this.#snapshotWanted = false;
    this.#replace(snapshot, now);
    this.#prove();
  }

  /** The platform holds nothing newer. */
  confirmed(epoch: CatalogueEpoch | undefined, now: Instant): void {
    this.#answered(now);
    this.#noteEpoch(epoch);
    this.#prove();
  }

  /** Another entry tells what it holds, and when its document was known to be the newest. */
  told({ version, revision, news, at, from }: ToldPicture, now: Instant): void {
    if (news !== undefined && revision > this.revision) {
      this.#follow(news, now);
      this.generation++;
    }
    const sameDocument = version === this.document?.version;
    if (revision === this.revision) {
      this.#schedule.noteConfirmed(at, now);
    } else if (this.#isResting() && sameDocument) {
      this.#schedule.noteBehind();
    } else if (revision > this.revision && this.failing) {
      this.#copyFrom(from, now);
    } else if (revision > this.revision) {
      this.#toldRevision = revision;
      this.#schedule.readAtOnce(now);
    }
  }

  noteDoubt(now: Instant): boolean {
    if (!this.failing) {
      this.#schedule.noteDoubt(now);
      this.tick(now);
    }
    return !this.failing;
  }

  /** Takes changes from the platform. */
  changed({ epoch, revision, changes }: CatalogueChanges, now: Instant): void {
    this.#answered(now);
    this.#noteEpoch(epoch);
    this.#follow({ revision, changes }, now);
    if (changes.length > 0) {
      this.generation++;
    }
    if (this.#verifies) {
      this.#prove();
    }
  }

  #follow({ revision, changes }: CatalogueChanges, now: Instant): void {
    this.recent.note({ from: this.revision, to: revision, changes });
    changes.forEach((change) => this.#apply(change, now));
    this.#rise(revision);
  }

  /** The platform has forgotten the changes since our revision. */
  compacted(epoch: CatalogueEpoch | undefined, now: Instant): void {
    this.#answered(now);
    this.#noteEpoch(epoch);
    this.historyMisses++;
    this.#log("Changes are not available, reading everything.", {
      after: this.revision,
    });
    this.#snapshotWanted = true;
    this.#schedule.readAtOnce(now);
  }

  /** The platform did not answer. */
  failed(detail: string, now: Instant): void {
    this.#schedule.failed(now);
    this.#failedAt = now;
    // Its counter may be behind ours after an outage, or our watch hung: read everything anew.
    this.#snapshotWanted = this.#snapshotWanted || this.#schedule.failures > 1;
    if (this.reachable) {
      this.reachable = false;
      this.#log("Platform does not answer.", { detail });
    }
  }

  /** Takes a peer's picture if it is newer than ours. */
  copied(snapshot: CatalogueSnapshot | undefined, now: Instant): void {
    if (snapshot !== undefined && snapshot.revision > this.revision) {
      this.#replace(snapshot, now);
      this.#log("Took the catalogue from a peer.", {
        revision: this.revision,
      });
    }
  }

  /** The picture for a peer. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.document === undefined ? undefined : {
      revision: this.revision,
      document: this.document,
      endpoints: this.#records.published,
      evacuated: [...this.evacuated],
    };
  }

  #read(now: Instant): void {
    const changesOnly = !this.#snapshotWanted;
    const wait = changesOnly ? this.#schedule.wait(now) : 0;
    this.#readMark = this.currency.mark(now);
    const proof = this.#proofFor();
    this.#verifies = proof.kind === "newest";
    this.#toldRevision = undefined;
    this.#emit({
      kind: "readCatalogue",
      proof,
      after: changesOnly ? this.revision : undefined,
      wait: milliseconds(wait),
      timeout: milliseconds(READ_TIMEOUT_MS + wait),
    });
  }

  /** Tells from what the answers of the platform count. */
  #noteEpoch(epoch: CatalogueEpoch | undefined): void {
    if (epoch === undefined || epoch === this.epoch) {
      return;
    }
    if (this.epoch !== undefined) {
      this.#log("Platform's revisions began anew.", {
        from: this.epoch,
        to: epoch,
        revision: this.revision,
      });
    }
    this.epoch = epoch;
  }

  /** Tells what a whole read brought, and what of it is older than what is held. */
  #noteWhole({ revision, document, endpoints }: CatalogueSnapshot): void {
    this.wholeReads++;
    if (this.wholeReads === 1) {
      return;
    }
    const older = endpoints.filter((record) => {
      const known = this.endpoints.get(record.id);
      return known !== undefined && !supersedes(record, known);
    });
    this.#log("Read everything.", {
      revision,
      held: this.revision,
      version: document?.version,
      heldVersion: this.document?.version,
      endpoints: endpoints.length,
      olderEndpoints: older.length,
    });
  }

  #answered(now: Instant): void {
    if (this.#schedule.answered(now)) {
      this.#returnedAt = now;
    }
    this.confirmedAt = now;
    if (!this.reachable) {
      this.reachable = true;
      this.#log("Platform answers.", { revision: this.revision });
    }
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
    if (holder !== undefined && holder.revision > this.revision) {
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
    return revision !== undefined && revision > this.revision
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
    const { revision, document, endpoints, evacuated } = snapshot;
    if (document !== undefined) {
      this.#adopt(document);
    }
    this.recent.clear();
    this.#records.replace(endpoints, this.#graceEnd(now));
    this.evacuated.clear();
    evacuated.forEach((zone) => this.evacuated.add(zone));
    this.#rise(revision);
    this.generation++;
  }

  #apply(change: CatalogueChange, now: Instant): void {
    switch (change.kind) {
      case "document":
        return this.#adopt(change.document);
      case "endpoint":
        return this.#records.put(change.record);
      case "endpointRemoved":
        return this.#records.remove(change.id, this.#graceEnd(now));
      case "evacuated":
        this.evacuated.add(change.zone);
        return this.#log("Zone is evacuated.", { zone: change.zone });
      case "evacuationEnded":
        this.evacuated.delete(change.zone);
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
  #graceEnd(now: Instant): Instant | undefined {
    if (this.failing && this.#failedAt !== undefined) {
      return after(now, RETURN_GRACE_MS);
    }
    const end = this.#returnedAt === undefined
      ? undefined
      : after(this.#returnedAt, RETURN_GRACE_MS);
    return end !== undefined && now < end ? end : undefined;
  }

  #rise(revision: Revision): void {
    this.revision = Math.max(this.revision, revision) as Revision;
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
