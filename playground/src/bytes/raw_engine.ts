/**
 * An engine on a raw socket: it says the bytes of a script, and stops where the script says.
 *
 * @module
 */
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import { eventsOf, type EventStyle } from "./event_text.ts";

/** How the end of a body is told. */
export type Framing = "chunked" | "length" | "none";

/** How a run stops. */
export type Stop =
  /** After its whole body, as its framing has it. */
  | "whole"
  /** The framing ends in order, at the byte where the run stops. */
  | "ended"
  /** The connection is closed in order. */
  | "closed"
  | "reset"
  /** Nothing more comes, and the connection stays open. */
  | "silent"
  /** Nothing more comes for a while, and then the rest. */
  | "late"
  /** Not even a head comes. */
  | "never";

/** What an engine does with a run. */
export interface RunScript {
  /** Events of the whole run. */
  readonly events: number;
  readonly style?: EventStyle;
  readonly framing?: Framing;
  readonly stop?: Stop;
  /** Bytes of the body before it stops. */
  readonly stopAt?: number;
  /** Bytes a write, everything at once where it is not given. */
  readonly piece?: number;
  /** Milliseconds between writes. */
  readonly pace?: number;
  /** Answers this in place of a stream. */
  readonly status?: number;
  /** Whether the status says that it did not run. */
  readonly notRun?: boolean;
  /** Called once everything before the stop is written. */
  readonly onStop?: () => void;
  /** Says exactly these bytes, head and all, in place of a stream, and stops after them. */
  readonly says?: readonly string[];
}

/** A request as the engine got it. */
export interface RawRequest {
  readonly call: string;
  /** Number of the event after which the stream goes on. */
  readonly after: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly at: number;
}

const OK = 200;
const HEAD_END = "\r\n\r\n";
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const LATE_MS = 2_200;

/** What an engine states about itself in the heads of its answers. */
export interface StatedTerms {
  /** Requests a second. */
  readonly limit?: number;
  readonly leaving?: boolean;
  /** Seconds of rest that it asks for while it turns requests away, and for how long it does. */
  readonly restS?: number;
  readonly forMs?: number;
}

/** An engine on loopback. */
export class RawEngine {
  readonly id: string;
  /** Requests that it began to run, in order. */
  readonly runs: RawRequest[] = [];
  /** Calls whose answers have begun and neither ended nor lost their connection. */
  readonly open = new Set<string>();
  /** When each request came. */
  readonly arrivals: number[] = [];
  /** Requests that it turned away to rest. */
  refusals = 0;
  /** When an answer first stated its terms. */
  statedAt: number | undefined;
  #terms: StatedTerms = {};
  #tiredUntil = -Infinity;
  readonly #script: (request: RawRequest) => RunScript;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  constructor(id: string, script: (request: RawRequest) => RunScript) {
    this.id = id;
    this.#script = script;
  }

  /** Listens, on a free port where none is given; gives host and port. */
  async listen(port = 0): Promise<string> {
    this.#server.listen(port, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Connections that are open to it. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** States something from now on. */
  state(terms: StatedTerms): void {
    this.#terms = terms;
    this.#tiredUntil = performance.now() + (terms.forMs ?? 0);
  }

  /** Ends every connection, as a process that is killed. */
  drop(): void {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Takes no more connections; those that are open stay. */
  refuse(): void {
    this.#server.close();
  }

  async close(): Promise<void> {
    this.drop();
    if (this.#server.listening) {
      this.#server.close();
      await once(this.#server, "close");
    }
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      const request = readRequest(text);
      if (request !== undefined) {
        text = "";
        void this.#answer(socket, request);
      }
    });
  }

  async #answer(socket: Socket, request: RawRequest): Promise<void> {
    const { headers, call, after } = request;
    if (headers.get(HEADERS.expectedEndpoint) !== this.id) {
      socket.write(plainAnswer(MISDIRECTED, []));
      return;
    }
    this.arrivals.push(performance.now());
    const stated = this.#statedLines();
    if (performance.now() < this.#tiredUntil) {
      this.refusals++;
      const rest = `${HEADERS.retryAfter}: ${this.#terms.restS}`;
      const lines = [...stated, `${HEADERS.notRun}: 1`, rest];
      socket.write(plainAnswer(UNAVAILABLE, lines));
      return;
    }
    const script = this.#script(request);
    const { status = OK, notRun = false, events, style } = script;
    if (!notRun) {
      this.runs.push(request);
    }
    const own = [...stated, `${HEADERS.callId}: ${call}`];
    if (status !== OK) {
      own.push(notRun ? `${HEADERS.notRun}: 1` : `${HEADERS.seal}: s-${call}`);
      socket.write(plainAnswer(status, own));
      return;
    }
    if (script.stop === "never") {
      return;
    }
    if (script.says !== undefined) {
      await sayParts(socket, script.says, script.pace);
      return endRun(socket, {
        framing: "length",
        stop: script.stop ?? "silent",
      });
    }
    const body = eventsOf(call, { count: events, after, style });
    this.open.add(call);
    const closed = (): void => void this.open.delete(call);
    socket.once("close", closed);
    socket.write(streamHead(call, { script, length: body.length, stated }));
    if (await say(socket, body, script)) {
      this.open.delete(call);
      socket.off("close", closed);
    }
  }

  #statedLines(): string[] {
    const { limit, leaving } = this.#terms;
    if (Object.keys(this.#terms).length > 0) {
      this.statedAt ??= performance.now();
    }
    return [
      ...limit === undefined ? [] : [`${HEADERS.limit}: ${limit}`],
      ...leaving === true ? [`${HEADERS.leaving}: 1`] : [],
    ];
  }
}

/** A request whose body is whole, `undefined` before. */
function readRequest(text: string): RawRequest | undefined {
  const end = text.indexOf(HEAD_END);
  if (end < 0) {
    return undefined;
  }
  const headers = new Map(
    text.slice(0, end).split("\r\n").slice(1).map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const length = Number(headers.get("content-length") ?? 0);
  if (text.length < end + HEAD_END.length + length) {
    return undefined;
  }
  return {
    call: headers.get(HEADERS.callId) ?? "",
    after: Number(headers.get(HEADERS.lastEventId) ?? 0),
    headers,
    at: performance.now(),
  };
}

function plainAnswer(status: number, headers: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status} x`, ...headers, "content-length: 0"];
  return lines.join("\r\n") + HEAD_END;
}

function streamHead(
  call: string,
  { script: { framing = "chunked" }, length, stated }: {
    script: RunScript;
    length: number;
    stated: readonly string[];
  },
): string {
  const told = {
    chunked: "transfer-encoding: chunked",
    length: `content-length: ${length}`,
    none: "connection: close",
  }[framing];
  return [
    `HTTP/1.1 ${OK} OK`,
    `${HEADERS.callId}: ${call}`,
    `${HEADERS.seal}: s-${call}`,
    "content-type: text/event-stream",
    ...stated,
    told,
  ].join("\r\n") + HEAD_END;
}

/** Whether the answer came to the end that its framing tells. */
async function say(
  socket: Socket,
  body: string,
  script: RunScript,
): Promise<boolean> {
  const { framing = "chunked", stop = "whole", stopAt, onStop } = script;
  await write(socket, stop === "whole" ? body : body.slice(0, stopAt), script);
  onStop?.();
  if (stop === "late") {
    await pause(LATE_MS);
    await write(socket, body.slice(stopAt), script);
  }
  if (!socket.destroyed) {
    endRun(socket, { framing, stop });
  }
  return stop === "whole" || stop === "late" ||
    (stop === "ended" && framing === "chunked");
}

async function write(
  socket: Socket,
  said: string,
  { framing = "chunked", piece, pace = 0 }: RunScript,
): Promise<void> {
  const size = Math.max(1, piece ?? said.length);
  for (let at = 0; at < said.length; at += size) {
    const part = said.slice(at, at + size);
    socket.write(
      framing === "chunked"
        ? `${part.length.toString(16)}\r\n${part}\r\n`
        : part,
      "latin1",
    );
    await (pace > 0 ? pause(pace) : nextTurn());
    await room(socket);
    if (socket.destroyed) {
      return;
    }
  }
}

/** Waits until the other side has read what was written. */
async function room(socket: Socket): Promise<void> {
  while (socket.writableNeedDrain && !socket.destroyed) {
    await pause(1);
  }
}

async function sayParts(
  socket: Socket,
  parts: readonly string[],
  pace = 0,
): Promise<void> {
  for (const part of parts) {
    socket.write(part, "latin1");
    await pause(pace);
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function endRun(
  socket: Socket,
  { framing, stop }: { framing: Framing; stop: Stop },
): void {
  switch (stop) {
    case "whole":
    case "late":
    case "ended":
      if (framing === "chunked") {
        socket.write("0\r\n\r\n");
      } else if (framing === "none") {
        socket.end();
      }
      return;
    case "closed":
      socket.end();
      return;
    case "reset":
      socket.resetAndDestroy();
      return;
    case "silent":
    case "never":
  }
}
