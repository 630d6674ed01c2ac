/**
 * The local copy of the catalogue: the document, the endpoints, the evacuations and the position in the
 * catalogue's history.
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
  type CatalogueDelta,
  type CataloguePosition,
  type CatalogueSnapshot,
  type EndpointRecord,
  NO_POSITION,
  RouteTable,
  type RoutingDocument,
} from "../routes/index.ts";
import { EndpointRecords } from "./endpoint_records.ts";
import { Evacuations } from "./evacuations.ts";
import { RecentChanges } from "./recent_changes.ts";

/**
 * A restored backup may contain the record of an endpoint that has ended since. Such an endpoint is not used
 * until this time has passed. If it still runs, it writes its record within seconds and is used from then on;
 * the platform removes the records of ended endpoints well before.
 */
const DEPARTED_WITHHELD_MS = 10_000;
/**
 * A zone stays evacuated for this long although a restored backup does not say so. Operators write again what
 * was lost. Until then, excluding a zone by mistake costs capacity, whereas using it by mistake costs
 * requests.
 */
const EVACUATION_KEPT_MS = 10_000;

/** Dependencies of the local catalogue. */
export interface LocalCatalogueDependencies {
  readonly onDocument: (document: RoutingDocument) => void;
  readonly log: (
    text: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Applies snapshots and changes to the local catalogue. */
export class LocalCatalogue {
  position = NO_POSITION;
  table: RouteTable | undefined;
  /** Incremented with each change. */
  generation = 0;
  /** Version of the document that the platform has, which may be older than the local one. */
  publishedVersion = 0 as Revision;
  readonly #dependencies: LocalCatalogueDependencies;
  readonly #records = new EndpointRecords();
  readonly #evacuations = new Evacuations();
  /** For peers that are a few revisions behind. */
  readonly #recentChanges = new RecentChanges();
  #contentHash = 0;
  /** The generation that the hash was computed for. */
  #hashedGeneration = -1;

  constructor(dependencies: LocalCatalogueDependencies) {
    this.#dependencies = dependencies;
  }

  get document(): RoutingDocument | undefined {
    return this.table?.document;
  }

  get endpoints(): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.#records.byId;
  }

  get evacuated(): ReadonlySet<ZoneId> {
    return this.#evacuations.zones;
  }

  /**
   * Hash of everything that routing decisions depend on. Periodic updates of records that change nothing else
   * don't affect it.
   */
  get contentHash(): number {
    if (this.#hashedGeneration !== this.generation) {
      this.#hashedGeneration = this.generation;
      const endpoints = [...this.endpoints.values()]
        .map(({ id, life, state }) => `${id} ${life} ${state}`).sort();
      const zones = [...this.evacuated].sort();
      const version = this.document?.version ?? 0;
      this.#contentHash = hash32([version, ...zones, ...endpoints].join(";"));
    }
    return this.#contentHash;
  }

  /**
   * Number of endpoints and zones that are treated differently from what the platform published, for reports.
   */
  get uncertainCounts(): Readonly<Record<string, number>> {
    return {
      keptEndpoints: this.#records.keptCount,
      withheldEndpoints: this.#records.withheldCount,
      keptZones: this.#evacuations.keptCount,
    };
  }

  /** The catalogue for a peer. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.document === undefined ? undefined : {
      ...this.position,
      document: this.document,
      endpoints: this.#records.published,
      evacuated: this.#evacuations.published,
    };
  }

  /** The changes since a position, for a peer that has the catalogue as of that position. */
  changesSince(
    { epoch, revision }: CataloguePosition,
  ): CatalogueDelta | undefined {
    return epoch === this.position.epoch
      ? this.#recentChanges.since(revision)
      : undefined;
  }

  /**
   * The position that an answer belongs to. The highest known epoch is kept even if the platform states a
   * lower one, since peers compare epochs.
   */
  positionOf(
    { epoch, revision }: Pick<CatalogueSnapshot, "epoch" | "revision">,
  ): CataloguePosition {
    const localEpoch = this.position.epoch;
    return {
      epoch: Math.max(localEpoch, epoch ?? localEpoch) as CatalogueEpoch,
      revision,
    };
  }

  /**
   * Takes a document if it is newer. Within the life of a process an older document never replaces a newer
   * one, whatever an outdated read returns.
   */
  adoptDocument(document: RoutingDocument): void {
    if (document.version > (this.document?.version ?? 0)) {
      this.table = new RouteTable(document);
      this.generation++;
      this.#dependencies.onDocument(document);
    }
  }

  /** Ends temporary exceptions whose time is over. */
  expire(now: Instant): void {
    const endpointsExpired = this.#records.expire(now);
    if (this.#evacuations.expire(now) || endpointsExpired) {
      this.generation++;
    }
  }

  /**
   * Applies changes since the local position. Endpoints whose records are removed are used until `keptUntil`.
   */
  applyChanges(
    { revision, changes }: Pick<CatalogueChanges, "revision" | "changes">,
    keptUntil: Instant | undefined,
  ): void {
    this.#recentChanges.add({
      from: this.position.revision,
      to: revision,
      changes,
    });
    changes.forEach((change) => this.#applyChange(change, keptUntil));
    this.position = { ...this.position, revision };
    if (changes.length > 0) {
      this.generation++;
    }
  }

  /** Replaces the catalogue. Endpoints whose records are missing are used until `keptUntil`. */
  applySnapshot(
    snapshot: CatalogueSnapshot,
    keptUntil: Instant | undefined,
  ): void {
    this.#records.replace(snapshot.endpoints, keptUntil);
    this.#evacuations.replace(snapshot.evacuated);
    this.#storeSnapshot(snapshot);
  }

  /**
   * Replaces the catalogue and its position by one of another epoch, in which the revisions of the local
   * catalogue are assigned again. The snapshot may be missing what the platform had acknowledged, and may
   * contain records of endpoints that have ended.
   */
  applyRestoredSnapshot(
    snapshot: CatalogueSnapshot,
    { keptUntil, now }: { keptUntil: Instant | undefined; now: Instant },
  ): void {
    const acceptedAt = after(now, DEPARTED_WITHHELD_MS);
    this.#records.restore(snapshot.endpoints, {
      keptUntil,
      acceptedAt,
    });
    this.#evacuations.replace(
      snapshot.evacuated,
      after(now, EVACUATION_KEPT_MS),
    );
    this.#storeSnapshot(snapshot);
  }

  #storeSnapshot(snapshot: CatalogueSnapshot): void {
    this.publishedVersion = snapshot.document?.version ?? 0 as Revision;
    if (snapshot.document !== undefined) {
      this.adoptDocument(snapshot.document);
    }
    this.#recentChanges.clear();
    this.position = this.positionOf(snapshot);
    this.generation++;
  }

  #applyChange(change: CatalogueChange, keptUntil: Instant | undefined): void {
    switch (change.kind) {
      case "document":
        this.publishedVersion = change.document.version;
        return this.adoptDocument(change.document);
      case "endpoint":
        return this.#records.put(change.record);
      case "endpointRemoved":
        return this.#records.remove(change.id, keptUntil);
      case "evacuated":
        this.#evacuations.begin(change.zone);
        return this.#dependencies.log("Zone is evacuated.", {
          zone: change.zone,
        });
      case "evacuationEnded":
        this.#evacuations.end(change.zone);
        return this.#dependencies.log("Zone is taken back.", {
          zone: change.zone,
        });
    }
  }
}
