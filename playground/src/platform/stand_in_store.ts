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
import { CALLS } from "@sassafrasstep/platform";
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

/** A store on loopback. */
export class StandInStore {
  fault: StoreFault = "none";
  calls = 0;
  readonly #items = new Map<string, Item>();
  #history: Item[] = [];
  #oldest = 0;
  #revision = 0;
  readonly #waiting = new Set<() => void>();
  readonly #server: Server = createServer((message, reply) =>
    this.#take(message, reply)
  );

  listen(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  close(): Promise<void> {
    return closeAtOnce(this.#server);
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

  /** Forgets which changes led here. */
  compact(): void {
    this.#oldest = this.#revision;
    this.#history = [];
  }

  #note(item: Item): void {
    this.#history.push(item);
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  #take(message: IncomingMessage, reply: ServerResponse): void {
    this.calls++;
    const url = new URL(message.url ?? "/", "http://store");
    switch (this.fault) {
      case "silent":
        return;
      case "busy":
        reply.writeHead(BUSY).end();
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
    if (pathname === CALLS.range) {
      return this.#range(prefix, searchParams.get("after") ?? "", reply);
    }
    const after = Number(searchParams.get("after"));
    if (after < this.#oldest) {
      reply.writeHead(GONE).end();
      return;
    }
    this.#watch({ prefix, after }, {
      wait: Number(searchParams.get("wait_ms")),
      reply,
    });
  }

  #range(prefix: string, after: string, reply: ServerResponse): void {
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
    const again = (): void => {
      clearTimeout(timer);
      this.#watch({ prefix, after }, { wait: 0, reply });
    };
    const timer = setTimeout(() => {
      this.#waiting.delete(again);
      again();
    }, wait);
    this.#waiting.add(again);
  }

  #say(reply: ServerResponse, body: object): void {
    reply.writeHead(OK, { "content-type": "application/json" });
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
