/**
 * A fake of the platform's catalogue store, with the failures that its readers may see.
 *
 * @module
 */
import type {
  CatalogueChange,
  CatalogueEpoch,
  CatalogueSnapshot,
  CatalogueView,
  Customer,
  EndpointId,
  EndpointRecord,
  GatewayEvent,
  KeyDigest,
  RequiredProof,
  Revision,
  Route,
  RoutedService,
  RoutingDocument,
  ZoneId,
} from "@sassafrasstep/core";
import { milliseconds } from "@sassafrasstep/core";
import type { VirtualTime } from "../scenario/virtual_time.ts";

/** How the store responds to a reader. */
export type StoreMode =
  | "up"
  | "silent"
  | "busy"
  | "stale"
  /** Answers reads of changes without any change, so that the reader misses them. */
  | "deaf";

const ANSWER_DELAY_MS = 4;
const MAX_HEADER_BYTES = 16_384;
const MAX_BODY_BYTES = 4_194_304;
const HEADER_TIMEOUT_MS = 3_000;
const IDLE_TIMEOUT_MS = 15_000;

interface Watch {
  readonly after: number;
  readonly answer: (event: GatewayEvent) => void;
}

/** Contents of the store when a backup was made. */
interface StoreBackup {
  readonly revision: number;
  readonly document: RoutingDocument | undefined;
  readonly endpoints: readonly EndpointRecord[];
  readonly evacuated: readonly ZoneId[];
}

/** A fake store in virtual time. */
export class FakeStore {
  readonly routes = new Map<string, Route>();
  readonly services = new Map<string, RoutedService>();
  readonly customers = new Map<string, Customer>();
  /** Mode for readers that `modes` doesn't list. */
  mode: StoreMode = "up";
  readonly modes = new Map<string, StoreMode>();
  reads = 0;
  /** Reads of the whole catalogue, with reader and time. */
  readonly fullReads: { readonly reader: string; readonly at: number }[] = [];
  readonly #time: VirtualTime;
  readonly #endpoints = new Map<EndpointId, EndpointRecord>();
  readonly #evacuated = new Set<ZoneId>();
  readonly #log: { revision: number; change: CatalogueChange }[] = [];
  #watches: Watch[] = [];
  #document: RoutingDocument | undefined;
  /** When each key was last removed. */
  readonly keyRemovedAt = new Map<KeyDigest, number>();
  #revision = 1;
  #compactedRevision = 0;
  #epoch = 1;
  #backup: StoreBackup | undefined;
  #nextChangeHidden = false;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Publishes the current routes, services and customers under a version. */
  publishDocument(version: number): void {
    const document: RoutingDocument = {
      version: version as Revision,
      routes: [...this.routes.values()],
      services: new Map(
        [...this.services.values()].map((service) => [service.id, service]),
      ),
      customers: new Map(
        [...this.customers.values()].map((customer) => [customer.id, customer]),
      ),
      limits: {
        headerBytes: MAX_HEADER_BYTES,
        bodyBytes: MAX_BODY_BYTES,
        headerTime: milliseconds(HEADER_TIMEOUT_MS),
        idleTime: milliseconds(IDLE_TIMEOUT_MS),
      },
    };
    this.#recordRemovedKeys(document);
    this.#document = document;
    this.#recordChange({ kind: "document", document });
  }

  #recordRemovedKeys(document: RoutingDocument): void {
    const keysOf = (source: RoutingDocument | undefined): KeyDigest[] =>
      [...source?.customers.values() ?? []].flatMap(({ keyDigests }) =>
        keyDigests
      );
    const presentKeys = new Set(keysOf(document));
    for (const key of keysOf(this.#document)) {
      if (!presentKeys.has(key) && !this.keyRemovedAt.has(key)) {
        this.keyRemovedAt.set(key, this.#time.now);
      }
    }
    presentKeys.forEach((key) => this.keyRemovedAt.delete(key));
  }

  put(record: EndpointRecord): void {
    this.#endpoints.set(record.id, record);
    this.#recordChange({ kind: "endpoint", record });
  }

  remove(id: EndpointId): void {
    this.#endpoints.delete(id);
    this.#recordChange({ kind: "endpointRemoved", id });
  }

  evacuate(zone: ZoneId, evacuated: boolean): void {
    if (evacuated) {
      this.#evacuated.add(zone);
      this.#recordChange({ kind: "evacuated", zone });
    } else {
      this.#evacuated.delete(zone);
      this.#recordChange({ kind: "evacuationEnded", zone });
    }
  }

  /** Drops the change log, so that readers of earlier revisions must read the whole catalogue. */
  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#log.length = 0;
  }

  /** Describes how an entry's catalogue differs from the store, `undefined` if it doesn't. */
  findDifference(
    { document, endpoints, evacuatedZones }: CatalogueView,
  ): string | undefined {
    const version = this.#document?.version ?? 0;
    if ((document?.version ?? 0) < version) {
      return `version ${document?.version}, published ${version}`;
    }
    const held = describeStates(endpoints.values());
    const published = describeStates(this.#endpoints.values());
    if (held !== published) {
      return `endpoints ${held}, published ${published}`;
    }
    const heldZones = [...evacuatedZones].sort().join();
    const publishedZones = [...this.#evacuated].sort().join();
    return heldZones === publishedZones
      ? undefined
      : `zones ${heldZones}, not ${publishedZones}`;
  }

  /** Omits the next change from the change log; only reads of the whole catalogue show it. */
  hideNextChange(): void {
    this.#nextChangeHidden = true;
  }

  /** Makes the backup that `restoreBackup` restores. */
  createBackup(): void {
    this.#backup = this.#snapshot();
  }

  /** Restores the backup: later writes are lost, their revisions are assigned again, and watches fail. */
  restoreBackup(): void {
    const { revision, document, endpoints, evacuated } = this.#backup!;
    this.#epoch++;
    this.#revision = revision;
    this.#document = document;
    this.#endpoints.clear();
    endpoints.forEach((record) => this.#endpoints.set(record.id, record));
    this.#evacuated.clear();
    evacuated.forEach((zone) => this.#evacuated.add(zone));
    this.compact();
    const interrupted = this.#watches;
    this.#watches = [];
    const detail = "Watch was interrupted";
    interrupted.forEach(({ answer }) =>
      answer({ kind: "catalogueFailed", detail })
    );
  }

  /** Answers a read, or leaves it unanswered in mode `silent`. */
  read(
    reader: string,
    { after, wait, proof }: {
      after: number | undefined;
      wait: number;
      proof: RequiredProof;
    },
    answer: (event: GatewayEvent) => void,
  ): void {
    this.reads++;
    if (after === undefined) {
      this.fullReads.push({ reader, at: this.#time.now });
    }
    const mode = this.modes.get(reader) ?? this.mode;
    if (mode === "silent") {
      return;
    }
    this.#time.after(ANSWER_DELAY_MS, () => {
      if (mode === "busy") {
        answer({ kind: "catalogueFailed", detail: "Store is busy" });
      } else if (after === undefined) {
        answer({ kind: "catalogueRead", snapshot: this.#snapshot() });
      } else if (after < this.#compactedRevision || after > this.#revision) {
        answer({ kind: "catalogueCompacted", ...this.#epochFields });
      } else if (mode === "deaf") {
        answer(this.#answerWithoutChanges({ after, proof }));
      } else if (proof.kind === "newest" && after === this.#revision) {
        answer({ kind: "catalogueConfirmed", ...this.#epochFields });
      } else {
        this.#watch({ after, answer }, wait);
      }
    });
  }

  /** Answers with the newest position, as `read` answers. */
  askNewest(reader: string, answer: (event: GatewayEvent) => void): void {
    const mode = this.modes.get(reader) ?? this.mode;
    if (mode === "silent") {
      return;
    }
    this.#time.after(ANSWER_DELAY_MS, () => {
      const revision = this.#revision as Revision;
      const newest = mode === "busy"
        ? undefined
        : { ...this.#epochFields, revision };
      answer({ kind: "catalogueNewest", newest });
    });
  }

  /** Returns what a reader concludes from an answer that lists no changes, whether or not there were some. */
  #answerWithoutChanges(
    { after, proof }: { after: number; proof: RequiredProof },
  ): GatewayEvent {
    if (proof.kind !== "none") {
      return after === this.#revision
        ? { kind: "catalogueConfirmed", ...this.#epochFields }
        : { kind: "catalogueCompacted", ...this.#epochFields };
    }
    const revision = after as Revision;
    return {
      kind: "catalogueChanged",
      changes: { ...this.#epochFields, revision, changes: [] },
    };
  }

  #watch(watch: Watch, wait: number): void {
    if (this.#revision > watch.after) {
      return this.#answer(watch);
    }
    this.#watches.push(watch);
    this.#time.after(wait, () => {
      if (this.#watches.includes(watch)) {
        this.#watches = this.#watches.filter((item) => item !== watch);
        this.#answer(watch);
      }
    });
  }

  #answer({ after, answer }: Watch): void {
    answer({
      kind: "catalogueChanged",
      changes: {
        ...this.#epochFields,
        revision: this.#revision as Revision,
        changes: this.#log.filter(({ revision }) => revision > after)
          .map(({ change }) => change),
      },
    });
  }

  get #epochFields(): { epoch: CatalogueEpoch } {
    return { epoch: this.#epoch as CatalogueEpoch };
  }

  #snapshot(): CatalogueSnapshot {
    return {
      ...this.#epochFields,
      revision: this.#revision as Revision,
      document: this.#document,
      endpoints: [...this.#endpoints.values()],
      evacuated: [...this.#evacuated],
    };
  }

  #recordChange(change: CatalogueChange): void {
    this.#revision++;
    if (!this.#nextChangeHidden) {
      this.#log.push({ revision: this.#revision, change });
    }
    this.#nextChangeHidden = false;
    const watches = this.#watches;
    this.#watches = [];
    for (const watch of watches) {
      this.#time.after(1, () => this.#answer(watch));
    }
  }
}

function describeStates(records: Iterable<EndpointRecord>): string {
  return [...records].map(({ id, state }) => `${id} ${state}`).sort().join();
}
