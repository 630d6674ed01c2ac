/**
 * The published picture as this entry holds it: document, endpoints, evacuations, and where in its history
 * that is.
 *
 * @module
 */
import {
  after,
  type CatalogueEpoch,
  type EndpointId,
  hash32,
  type Instant,
  type Revision,
  type ZoneId,
} from "../ids/index.ts";
import {
  type CatalogueChange,
  type CatalogueChanges,
  type CataloguePosition,
  type CatalogueSnapshot,
  type EndpointRecord,
  NO_POSITION,
  type PictureNews,
  RouteTable,
  type RoutingDocument,
} from "../routes/index.ts";
import { EndpointRecords } from "./endpoint_records.ts";
import { Evacuations } from "./evacuations.ts";
import { RecentChanges } from "./recent_changes.ts";

/**
 * An endpoint that is gone, and whose record a copy brought back, may be used after this. One that lives
 * writes within seconds and is used then; the records of the others are removed by the platform well before.
 */
const DEPARTED_WITHHELD_MS = 10_000;
/**
 * A zone stays evacuated for so long although a copy lacks it. Operators write again what was lost; until
 * then a zone that is wrongly left alone costs capacity, one that is wrongly used costs requests.
 */
const EVACUATION_KEPT_MS = 10_000;

/** What the picture tells of its changes. */
export interface HeldCatalogueSources {
  readonly adopted: (document: RoutingDocument) => void;
  readonly log: (
    text: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Applies what was read to what is held. */
export class HeldCatalogue {
  position = NO_POSITION;
  table: RouteTable | undefined;
  /** Grows with each change. */
  generation = 0;
  /** Version of the document that the platform has, which may be older than the one held. */
  published = 0 as Revision;
  readonly #sources: HeldCatalogueSources;
  readonly #records = new EndpointRecords();
  readonly #evacuations = new Evacuations();
  /** For peers that are behind by a few changes. */
  readonly #recent = new RecentChanges();
  #picture = 0;
  /** The generation that it was made of. */
  #pictureOf = -1;

  constructor(sources: HeldCatalogueSources) {
    this.#sources = sources;
  }

  get document(): RoutingDocument | undefined {
    return this.table?.document;
  }

  get endpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.#records.all;
  }

  get evacuated(): ReadonlySet<ZoneId> {
    return this.#evacuations.zones;
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

  /** How many things are not believed to be as they were read, for reports. */
  get doubted(): Readonly<Record<string, number>> {
    return {
      keptEndpoints: this.#records.kept,
      withheldEndpoints: this.#records.withheld,
      keptZones: this.#evacuations.kept,
    };
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

  /** What changed since a position, for a peer that holds it. */
  newsSince({ epoch, revision }: CataloguePosition): PictureNews | undefined {
    return epoch === this.position.epoch
      ? this.#recent.since(revision)
      : undefined;
  }

  /**
   * Where an answer stands that states this. Peers compare epochs, so that the highest one is kept, also
   * where the platform states a lower one.
   */
  positionOf(
    { epoch, revision }: Pick<CatalogueSnapshot, "epoch" | "revision">,
  ): CataloguePosition {
    const held = this.position.epoch;
    return {
      epoch: Math.max(held, epoch ?? held) as CatalogueEpoch,
      revision,
    };
  }

  /** A document never goes back within a process's life, whatever a stale read says. */
  adopt(document: RoutingDocument): void {
    if (document.version > (this.document?.version ?? 0)) {
      this.table = new RouteTable(document);
      this.generation++;
      this.#sources.adopted(document);
    }
  }

  /** Ends what was to hold for a while. */
  expire(now: Instant): void {
    const endpoints = this.#records.expire(now);
    if (this.#evacuations.expire(now) || endpoints) {
      this.generation++;
    }
  }

  /** Takes changes since the position held. Records that go missing are used until `keptUntil`. */
  follow(
    { revision, changes }: Pick<CatalogueChanges, "revision" | "changes">,
    keptUntil: Instant | undefined,
  ): void {
    this.#recent.note({ from: this.position.revision, to: revision, changes });
    changes.forEach((change) => this.#apply(change, keptUntil));
    this.position = { ...this.position, revision };
    if (changes.length > 0) {
      this.generation++;
    }
  }

  /** Takes a whole picture. */
  replace(snapshot: CatalogueSnapshot, keptUntil: Instant | undefined): void {
    this.#records.replace(snapshot.endpoints, keptUntil);
    this.#evacuations.replace(snapshot.evacuated);
    this.#hold(snapshot);
  }

  /**
   * Takes a whole picture of another epoch, with its position: what is held counts from revisions that are
   * given out again. What the platform had acknowledged may be missing from it, and what was over may stand
   * again.
   */
  restore(
    snapshot: CatalogueSnapshot,
    { keptUntil, now }: { keptUntil: Instant | undefined; now: Instant },
  ): void {
    const believedAt = after(now, DEPARTED_WITHHELD_MS);
    this.#records.restore(snapshot.endpoints, { keptUntil, believedAt });
    this.#evacuations.replace(
      snapshot.evacuated,
      after(now, EVACUATION_KEPT_MS),
    );
    this.#hold(snapshot);
  }

  #hold(snapshot: CatalogueSnapshot): void {
    this.published = snapshot.document?.version ?? 0 as Revision;
    if (snapshot.document !== undefined) {
      this.adopt(snapshot.document);
    }
    this.#recent.clear();
    this.position = this.positionOf(snapshot);
    this.generation++;
  }

  #apply(change: CatalogueChange, keptUntil: Instant | undefined): void {
    switch (change.kind) {
      case "document":
        this.published = change.document.version;
        return this.adopt(change.document);
      case "endpoint":
        return this.#records.put(change.record);
      case "endpointRemoved":
        return this.#records.remove(change.id, keptUntil);
      case "evacuated":
        this.#evacuations.begin(change.zone);
        return this.#sources.log("Zone is evacuated.", { zone: change.zone });
      case "evacuationEnded":
        this.#evacuations.end(change.zone);
        return this.#sources.log("Zone is taken back.", { zone: change.zone });
    }
  }
}
