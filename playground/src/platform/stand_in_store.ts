/**
 * A stand-in of the platform's store: range with pages, watch with history, and the ways it can fail.
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
import { closeAtOnce, listenOnLoopback } from "./loopback.ts";

/** How the store treats a call. */
export type StoreFault =
  | "none"
  /** Takes the call and never answers. */
  | "silent"
  /** Turns the call away. */
  | "busy"
  | "reset"
  /** Answers with bytes that are no answer of its own. */
  | "garbage"
  /** Answers after a while. */
  | "slow"
  /** Its answers come in small pieces, as over a slow link. */
  | "trickles";

const PAGE_ITEMS = 3;
const SLOW_MS = 150;
const TRICKLE_CHARACTERS = 64;
const TRICKLE_MS = 20;
const OK = 200;
const GONE = 410;
const BUSY = 503;

interface Item {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
  readonly tombstone?: true;
}

/** A watch that waits for a change. */
interface Waiting {
  readonly wake: () => void;
  readonly cut: () => void;
}

/** What the store held at a moment. */
export interface StoreCopy {
  readonly items: readonly Item[];
  readonly revision: number;
}

/** An address of the store, which may fail those who use it alone. */
export interface StoreGate {
  readonly address: string;
  fault: StoreFault;
}

/** A store on loopback. */
export class StandInStore {
  fault: StoreFault = "none";
  calls = 0;
  /** Calls that ask for everything, page by page. */
  wholeReads = 0;
  /** What its answers state of its epoch. */
  statedEpoch: (epoch: number) => string | undefined = String;
  readonly #items = new Map<string, Item>();
  #history: Item[] = [];
  #oldest = 0;
  #revision = 0;
  #epoch = 1;
  readonly #waiting = new Set<Waiting>();
  readonly #gates: Server[] = [];
  readonly #server: Server = createServer((message, reply) =>
    this.#take(this.fault, { message, reply })
  );

  listen(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  /** Opens an address with a fault of its own, beside the one of all. */
  async openGate(): Promise<StoreGate> {
    const server = createServer((message, reply) => {
      const fault = gate.fault === "none" ? this.fault : gate.fault;
      this.#take(fault, { message, reply });
    });
    this.#gates.push(server);
    const address = await listenOnLoopback(server);
    const gate: StoreGate = { address, fault: "none" };
    return gate;
  }

  async close(): Promise<void> {
    await Promise.all([this.#server, ...this.#gates].map(closeAtOnce));
  }

  /** Writes a value as JSON. */
  put(key: string, value: unknown): void {
    this.putRaw(key, Buffer.from(JSON.stringify(value)).toString("base64"));
  }

  /** Writes a value as it is. */
  putRaw(key: string, value: string): void {
    this.#revision++;
    const item = { key, value, revision: this.#revision };
    this.#items.set(key, item);
    this.#note(item);
  }

  remove(key: string): void {
    this.#revision++;
    this.#items.delete(key);
    this.#note({ key, revision: this.#revision, tombstone: true });
  }

  /** Where its counter stands. */
  get revision(): number {
    return this.#revision;
  }

  copy(): StoreCopy {
    return { items: [...this.#items.values()], revision: this.#revision };
  }

  /**
   * Comes back from a copy: what was written since is lost, its revisions are given out again, and changes
   * up to the copy are no longer to be had. Watches that wait are cut.
   */
  restore({ items, revision }: StoreCopy): void {
    this.#epoch++;
    this.#revision = revision;
    this.#items.clear();
    items.forEach((item) => this.#items.set(item.key, item));
    this.compact();
    this.#waiting.forEach(({ cut }) => cut());
    this.#waiting.clear();
  }

  /** Forgets which changes led here. */
  compact(): void {
    this.#oldest = this.#revision;
    this.#history = [];
  }

  #note(item: Item): void {
    this.#history.push(item);
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach(({ wake }) => wake());
  }

  #take(
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
        setTimeout(() => this.#answer(url, reply), SLOW_MS);
        return;
      case "trickles":
      case "none":
        this.#answer(url, reply);
    }
  }

  #answer({ pathname, searchParams }: URL, reply: ServerResponse): void {
    const prefix = searchParams.get("path_prefix") ?? "";
    if (pathname === API_PATHS.range) {
      return this.#range(prefix, searchParams.get("after") ?? "", reply);
    }
    const after = Number(searchParams.get("after"));
    if (after < this.#oldest || after > this.#revision) {
      reply.writeHead(GONE, this.#headers()).end();
      return;
    }
    this.#watch({ prefix, after }, {
      wait: Number(searchParams.get("wait_ms")),
      reply,
    });
  }

  #headers(): Record<string, string> {
    const text = this.statedEpoch(this.#epoch);
    return text === undefined ? {} : { [HEADERS.storeEpoch]: text };
  }

  #range(prefix: string, after: string, reply: ServerResponse): void {
    this.wholeReads += prefix === "" && after === "" ? 1 : 0;
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    this.#say(reply, {
      items: items.slice(0, PAGE_ITEMS),
      more_pages: items.length > PAGE_ITEMS,
    });
  }

  #watch(
    { prefix, after }: { prefix: string; after: number },
    { wait, reply }: { wait: number; reply: ServerResponse },
  ): void {
    const events = this.#history.filter(({ key, revision }) =>
      revision > after && key.startsWith(prefix)
    );
    if (events.length > 0 || wait <= 0) {
      return this.#say(reply, { events });
    }
    const waiting: Waiting = {
      wake: () => {
        clearTimeout(timer);
        this.#watch({ prefix, after }, { wait: 0, reply });
      },
      cut: () => {
        clearTimeout(timer);
        reply.destroy();
      },
    };
    const timer = setTimeout(() => {
      this.#waiting.delete(waiting);
      waiting.wake();
    }, wait);
    this.#waiting.add(waiting);
  }

  #say(reply: ServerResponse, body: object): void {
    reply.writeHead(OK, {
      ...this.#headers(),
      "content-type": "application/json",
    });
    const text = JSON.stringify({ ...body, as_of: this.#revision });
    if (this.fault === "trickles") {
      this.#trickle(reply, text);
    } else {
      reply.end(text);
    }
  }

  #trickle(reply: ServerResponse, text: string): void {
    if (text === "" || reply.destroyed) {
      reply.end();
      return;
    }
    reply.write(text.slice(0, TRICKLE_CHARACTERS));
    setTimeout(
      () => this.#trickle(reply, text.slice(TRICKLE_CHARACTERS)),
      TRICKLE_MS,
    );
  }
}
