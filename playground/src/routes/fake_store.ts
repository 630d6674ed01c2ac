/**
 * The platform's published picture, with the ways in which it can fail its readers.
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

/** How the store treats a reader. */
export type StoreMode =
  | "up"
  | "silent"
  | "busy"
  | "stale"
  /** Names no changes, and then drops them. */
  | "deaf";

const ANSWER_MS = 4;
const HEADER_BYTES = 16_384;
const BODY_BYTES = 4_194_304;
const HEADER_MS = 3_000;
const IDLE_MS = 15_000;

interface Watch {
  readonly after: number;
  readonly answer: (event: GatewayEvent) => void;
}

/** What the store held at a moment. */
interface StoreCopy {
  readonly revision: number;
  readonly document: RoutingDocument | undefined;
  readonly endpoints: readonly EndpointRecord[];
  readonly evacuated: readonly ZoneId[];
}

/** A store under virtual time. */
export class FakeStore {
  readonly routes = new Map<string, Route>();
  readonly services = new Map<string, RoutedService>();
  readonly customers = new Map<string, Customer>();
  /** Mode for all readers, and for single ones. */
  mode: StoreMode = "up";
  readonly modes = new Map<string, StoreMode>();
  reads = 0;
  /** When each reader asked for everything. */
  readonly wholeReads: { readonly reader: string; readonly at: number }[] = [];
  readonly #time: VirtualTime;
  readonly #endpoints = new Map<EndpointId, EndpointRecord>();
  readonly #evacuated = new Set<ZoneId>();
  readonly #log: { revision: number; change: CatalogueChange }[] = [];
  #watches: Watch[] = [];
  #document: RoutingDocument | undefined;
  /** When each key was last taken away. */
  readonly takenAt = new Map<KeyDigest, number>();
  #revision = 1;
  #oldest = 0;
  #epoch = 1;
  #copy: StoreCopy | undefined;
  #hidden = false;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Publishes the routes and services as they are, under the next version. */
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
        headerBytes: HEADER_BYTES,
        bodyBytes: BODY_BYTES,
        headerTime: milliseconds(HEADER_MS),
        idleTime: milliseconds(IDLE_MS),
      },
    };
    this.#noteKeys(document);
    this.#document = document;
    this.#note({ kind: "document", document });
  }

  #noteKeys(document: RoutingDocument): void {
    const keysOf = (of: RoutingDocument | undefined): KeyDigest[] =>
      [...of?.customers.values() ?? []].flatMap(({ keyDigests }) => keyDigests);
    const present = new Set(keysOf(document));
    for (const key of keysOf(this.#document)) {
      if (!present.has(key) && !this.takenAt.has(key)) {
        this.takenAt.set(key, this.#time.now);
      }
    }
    present.forEach((key) => this.takenAt.delete(key));
  }

  put(record: EndpointRecord): void {
    this.#endpoints.set(record.id, record);
    this.#note({ kind: "endpoint", record });
  }

  remove(id: EndpointId): void {
    this.#endpoints.delete(id);
    this.#note({ kind: "endpointRemoved", id });
  }

  evacuate(zone: ZoneId, evacuated: boolean): void {
    if (evacuated) {
      this.#evacuated.add(zone);
      this.#note({ kind: "evacuated", zone });
    } else {
      this.#evacuated.delete(zone);
      this.#note({ kind: "evacuationEnded", zone });
    }
  }

  /** Forgets which changes led here. */
  compact(): void {
    this.#oldest = this.#revision;
    this.#log.length = 0;
  }

  /** What an entry holds otherwise than it is here, `undefined` where all is in force. */
  missingAt(
    { document, endpoints, evacuatedZones }: CatalogueView,
  ): string | undefined {
    const version = this.#document?.version ?? 0;
    if ((document?.version ?? 0) < version) {
      return `version ${document?.version}, published ${version}`;
    }
    const held = statesOf(endpoints.values());
    const published = statesOf(this.#endpoints.values());
    if (held !== published) {
      return `endpoints ${held}, published ${published}`;
    }
    const zones = [...evacuatedZones].sort().join();
    const emptied = [...this.#evacuated].sort().join();
    return zones === emptied ? undefined : `zones ${zones}, not ${emptied}`;
  }

  /** The next change is in the picture, and no read of changes names it. */
  hideNext(): void {
    this.#hidden = true;
  }

  /** Takes a copy, which `restore` comes back from. */
  copy(): void {
    this.#copy = this.#snapshot();
  }

  /** What was written since the copy is lost, its revisions are given out again, and watches are cut. */
  restore(): void {
    const { revision, document, endpoints, evacuated } = this.#copy!;
    this.#epoch++;
    this.#revision = revision;
    this.#document = document;
    this.#endpoints.clear();
    endpoints.forEach((record) => this.#endpoints.set(record.id, record));
    this.#evacuated.clear();
    evacuated.forEach((zone) => this.#evacuated.add(zone));
    this.compact();
    const cut = this.#watches;
    this.#watches = [];
    const detail = "Watch was cut";
    cut.forEach(({ answer }) => answer({ kind: "catalogueFailed", detail }));
  }

  /** Answers one read, or leaves it without an answer. */
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
      this.wholeReads.push({ reader, at: this.#time.now });
    }
    const mode = this.modes.get(reader) ?? this.mode;
    if (mode === "silent") {
      return;
    }
    this.#time.after(ANSWER_MS, () => {
      if (mode === "busy") {
        answer({ kind: "catalogueFailed", detail: "Store is busy" });
      } else if (after === undefined) {
        answer({ kind: "catalogueRead", snapshot: this.#snapshot() });
      } else if (after < this.#oldest || after > this.#revision) {
        answer({ kind: "catalogueCompacted", ...this.#stated });
      } else if (mode === "deaf") {
        answer(this.#deaf({ after, proof }));
      } else if (proof.kind === "newest" && after === this.#revision) {
        answer({ kind: "catalogueConfirmed", ...this.#stated });
      } else {
        this.#watch({ after, answer }, wait);
      }
    });
  }

  /** What a reader makes of an answer that names no change, though there were some. */
  #deaf(
    { after, proof }: { after: number; proof: RequiredProof },
  ): GatewayEvent {
    if (proof.kind !== "none") {
      return after === this.#revision
        ? { kind: "catalogueConfirmed", ...this.#stated }
        : { kind: "catalogueCompacted", ...this.#stated };
    }
    const revision = after as Revision;
    return {
      kind: "catalogueChanged",
      changes: { ...this.#stated, revision, changes: [] },
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
        ...this.#stated,
        revision: this.#revision as Revision,
        changes: this.#log.filter(({ revision }) => revision > after)
          .map(({ change }) => change),
      },
    });
  }

  get #stated(): { epoch: CatalogueEpoch } {
    return { epoch: this.#epoch as CatalogueEpoch };
  }

  #snapshot(): CatalogueSnapshot {
    return {
      ...this.#stated,
      revision: this.#revision as Revision,
      document: this.#document,
      endpoints: [...this.#endpoints.values()],
      evacuated: [...this.#evacuated],
    };
  }

  #note(change: CatalogueChange): void {
    this.#revision++;
    if (!this.#hidden) {
      this.#log.push({ revision: this.#revision, change });
    }
    this.#hidden = false;
    const waiting = this.#watches;
    this.#watches = [];
    for (const watch of waiting) {
      this.#time.after(1, () => this.#answer(watch));
    }
  }
}

function statesOf(records: Iterable<EndpointRecord>): string {
  return [...records].map(({ id, state }) => `${id} ${state}`).sort().join();
}
