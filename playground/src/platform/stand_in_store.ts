/**
 * A stand-in for the platform's store: paged range reads, watches with history, and the ways in which they can fail.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { API_PATHS, HEADERS } from "@sassafrasstep/platform";
import { forceClose, listenOnLoopback } from "./loopback.ts";

/** How the store fails calls. */
export type StoreFault =
  | "none"
  /** Accepts the call and never answers. */
  | "silent"
  /** Answers 503. */
  | "busy"
  | "reset"
  /** Answers with invalid JSON. */
  | "garbage"
  /** Answers after a delay. */
  | "slow"
  /** Answers in small pieces, as over a slow link. */
  | "trickles";

const PAGE_ITEMS = 3;
const SLOW_ANSWER_MS = 150;
const PIECE_CHARACTERS = 64;
const PIECE_INTERVAL_MS = 20;
const OK = 200;
const GONE = 410;
const BUSY = 503;

interface Item {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
  readonly tombstone?: true;
}

/** A watch request that waits for a change. */
interface PendingWatch {
  readonly notify: () => void;
  readonly abort: () => void;
}

/** A backup of the store: its items and the revision at that time. */
export interface StoreCopy {
  readonly items: readonly Item[];
  readonly revision: number;
}

/** A further address of the store, with a fault that applies to its clients only. */
export interface StoreListener {
  readonly address: string;
  fault: StoreFault;
}

/** A key-value store on loopback with revisions and epochs. */
export class StandInStore {
  fault: StoreFault = "none";
  calls = 0;
  /** Number of full range reads, each counted at its first page. */
  fullReads = 0;
  /** Value of the epoch header for an epoch; `undefined` omits the header. */
  formatEpoch: (epoch: number) => string | undefined = String;
  readonly #items = new Map<string, Item>();
  #history: Item[] = [];
  #compactedRevision = 0;
  #revision = 0;
  #epoch = 1;
  readonly #pendingWatches = new Set<PendingWatch>();
  readonly #listenerServers: Server[] = [];
  readonly #server: Server = createServer((message, reply) =>
    this.#receive(this.fault, { message, reply })
  );

  listen(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  /** Listens on a further address whose fault, unless `none`, takes precedence over the store's. */
  async addListener(): Promise<StoreListener> {
    const server = createServer((message, reply) => {
      const fault = listener.fault === "none" ? this.fault : listener.fault;
      this.#receive(fault, { message, reply });
    });
    this.#listenerServers.push(server);
    const address = await listenOnLoopback(server);
    const listener: StoreListener = { address, fault: "none" };
    return listener;
  }

  async close(): Promise<void> {
    await Promise.all([this.#server, ...this.#listenerServers].map(forceClose));
  }

  /** Writes a value as JSON. */
  put(key: string, value: unknown): void {
    this.putRaw(key, Buffer.from(JSON.stringify(value)).toString("base64"));
  }

  /** Writes a value that is already encoded in base64. */
  putRaw(key: string, value: string): void {
    this.#revision++;
    const item = { key, value, revision: this.#revision };
    this.#items.set(key, item);
    this.#recordChange(item);
  }

  remove(key: string): void {
    this.#revision++;
    this.#items.delete(key);
    this.#recordChange({ key, revision: this.#revision, tombstone: true });
  }

  /** The current revision. */
  get revision(): number {
    return this.#revision;
  }

  copy(): StoreCopy {
    return { items: [...this.#items.values()], revision: this.#revision };
  }

  /**
   * Restores a copy: later writes are lost, their revisions are assigned again, and the history before the
   * copy is gone. Starts a new epoch and aborts pending watches.
   */
  restore({ items, revision }: StoreCopy): void {
    this.#epoch++;
    this.#revision = revision;
    this.#items.clear();
    items.forEach((item) => this.#items.set(item.key, item));
    this.compact();
    this.#pendingWatches.forEach(({ abort }) => abort());
    this.#pendingWatches.clear();
  }

  /** Drops the change history, so that watches from an earlier revision get 410. */
  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#history = [];
  }

  #recordChange(item: Item): void {
    this.#history.push(item);
    const pendingWatches = [...this.#pendingWatches];
    this.#pendingWatches.clear();
    pendingWatches.forEach(({ notify }) => notify());
  }

  #receive(
    fault: StoreFault,
    { message, reply }: { message: IncomingMessage; reply: ServerResponse },
  ): void {
    this.calls++;
    const url = new URL(message.url ?? "/", "http://store");
    switch (fault) {
      case "silent":
        return;
      case "busy":
        reply.writeHead(BUSY, this.#headers()).end();
        return;
      case "reset":
        message.socket.resetAndDestroy();
        return;
      case "garbage":
        reply.end("{");
        return;
      case "slow":
        setTimeout(() => this.#respond(url, reply), SLOW_ANSWER_MS);
        return;
      case "trickles":
      case "none":
        this.#respond(url, reply);
    }
  }

  #respond({ pathname, searchParams }: URL, reply: ServerResponse): void {
    const prefix = searchParams.get("path_prefix") ?? "";
    if (pathname === API_PATHS.range) {
      return this.#range(prefix, searchParams.get("after") ?? "", reply);
    }
    const after = Number(searchParams.get("after"));
    if (after < this.#compactedRevision || after > this.#revision) {
      reply.writeHead(GONE, this.#headers()).end();
      return;
    }
    this.#watch({ prefix, after }, {
      waitMs: Number(searchParams.get("wait_ms")),
      reply,
    });
  }

  #headers(): Record<string, string> {
    const text = this.formatEpoch(this.#epoch);
    return text === undefined ? {} : { [HEADERS.storeEpoch]: text };
  }

  #range(prefix: string, after: string, reply: ServerResponse): void {
    this.fullReads += prefix === "" && after === "" ? 1 : 0;
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    this.#sendJson(reply, {
      items: items.slice(0, PAGE_ITEMS),
      more_pages: items.length > PAGE_ITEMS,
    });
  }

  #watch(
    { prefix, after }: { prefix: string; after: number },
    { waitMs, reply }: { waitMs: number; reply: ServerResponse },
  ): void {
    const events = this.#history.filter(({ key, revision }) =>
      revision > after && key.startsWith(prefix)
    );
    if (events.length > 0 || waitMs <= 0) {
      return this.#sendJson(reply, { events });
    }
    const pendingWatch: PendingWatch = {
      notify: () => {
        clearTimeout(timer);
        this.#watch({ prefix, after }, { waitMs: 0, reply });
      },
      abort: () => {
        clearTimeout(timer);
        reply.destroy();
      },
    };
    const timer = setTimeout(() => {
      this.#pendingWatches.delete(pendingWatch);
      pendingWatch.notify();
    }, waitMs);
    this.#pendingWatches.add(pendingWatch);
  }

  #sendJson(reply: ServerResponse, body: object): void {
    reply.writeHead(OK, {
      ...this.#headers(),
      "content-type": "application/json",
    });
    const text = JSON.stringify({ ...body, as_of: this.#revision });
    if (this.fault === "trickles") {
      this.#sendInPieces(reply, text);
    } else {
      reply.end(text);
    }
  }

  #sendInPieces(reply: ServerResponse, text: string): void {
    if (text === "" || reply.destroyed) {
      reply.end();
      return;
    }
    reply.write(text.slice(0, PIECE_CHARACTERS));
    setTimeout(
      () => this.#sendInPieces(reply, text.slice(PIECE_CHARACTERS)),
      PIECE_INTERVAL_MS,
    );
  }
}
