/**
 * An engine on raw sockets: it sends the bytes of a script and stops where the script says.
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
import { onRequests, type RawRequest } from "./raw_request.ts";

/** How an answer marks the end of its body: by chunks, by its length, or only by closing the connection. */
export type Framing = "chunked" | "length" | "none";

/** How a run ends. */
export type Stop =
  /** Sends the whole body and ends it as its framing requires. */
  | "whole"
  /** Ends the framing properly at the byte where the run stops. */
  | "ended"
  /** Closes the connection gracefully. */
  | "closed"
  | "reset"
  /** Sends nothing more and keeps the connection open. */
  | "silent"
  /** Pauses for `LATE_DELAY_MS` and then sends the rest. */
  | "late"
  /** Sends nothing at all, not even a head. */
  | "never";

/** How an engine answers a request. */
export interface RunScript {
  /** Number of events of the whole run. */
  readonly events: number;
  readonly style?: EventStyle;
  readonly framing?: Framing;
  readonly stop?: Stop;
  /** Bytes of the body to send before the stop. */
  readonly stopAt?: number;
  /** Bytes per write; everything at once if not given. */
  readonly piece?: number;
  /** Milliseconds between writes. */
  readonly pace?: number;
  /** Status of an empty answer to send instead of a stream. */
  readonly status?: number;
  /** Whether the empty answer states that the request did not run. */
  readonly notRun?: boolean;
  /** Called when everything before the stop is written. */
  readonly onStop?: () => void;
  /** Exact bytes, head included, to send instead of a stream, one write per part; then the run stops. */
  readonly rawParts?: readonly string[];
}

const OK = 200;
const HEAD_END = "\r\n\r\n";
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const LATE_DELAY_MS = 2_200;

/** What an engine states about itself in the headers of its answers. */
export interface StatedTerms {
  /** Requests per second. */
  readonly limit?: number;
  readonly leaving?: boolean;
  /** Seconds of backoff that it asks for while it refuses requests. */
  readonly restS?: number;
  /** Time for which it refuses requests. */
  readonly forMs?: number;
}

/** An HTTP engine on loopback, without an HTTP library. */
export class RawEngine {
  readonly id: string;
  /** Requests that began to run, in order. */
  readonly runs: RawRequest[] = [];
  /** Calls whose answer has begun and has neither ended nor lost its connection. */
  readonly open = new Set<string>();
  /** Requests that arrived, whether they ran or not. */
  readonly received: RawRequest[] = [];
  /** `performance.now()` at the arrival of each request. */
  readonly arrivals: number[] = [];
  /** Number of requests refused with a backoff. */
  refusals = 0;
  /** `performance.now()` when an answer first stated terms. */
  statedAt: number | undefined;
  #terms: StatedTerms = {};
  #refusesUntil = -Infinity;
  readonly #script: (request: RawRequest) => RunScript;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  constructor(id: string, script: (request: RawRequest) => RunScript) {
    this.id = id;
    this.#script = script;
  }

  /** Starts listening, on a free port if none is given; resolves with `host:port`. */
  async listen(port = 0): Promise<string> {
    this.#server.listen(port, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Sets the terms to state from now on. */
  state(terms: StatedTerms): void {
    this.#terms = terms;
    this.#refusesUntil = performance.now() + (terms.forMs ?? 0);
  }

  /** Resets every connection, as a killed process does. */
  resetConnections(): void {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Accepts no more connections; open ones stay open. */
  refuse(): void {
    this.#server.close();
  }

  async close(): Promise<void> {
    this.resetConnections();
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
    onRequests(socket, (request) => void this.#respond(socket, request));
  }

  async #respond(socket: Socket, request: RawRequest): Promise<void> {
    const { headers, call, after } = request;
    if (headers.get(HEADERS.expectedEndpoint) !== this.id) {
      socket.write(
        formatEmptyAnswer(MISDIRECTED, [
          `${HEADERS.callId}: ${call}`,
          `${HEADERS.notRun}: 1`,
        ]),
      );
      return;
    }
    this.received.push(request);
    this.arrivals.push(performance.now());
    const statedHeaders = this.#statedHeaderLines();
    if (performance.now() < this.#refusesUntil) {
      this.refusals++;
      const rest = `${HEADERS.retryAfter}: ${this.#terms.restS}`;
      const lines = [
        ...statedHeaders,
        `${HEADERS.callId}: ${call}`,
        `${HEADERS.notRun}: 1`,
        rest,
      ];
      socket.write(formatEmptyAnswer(UNAVAILABLE, lines));
      return;
    }
    const script = this.#script(request);
    const { status = OK, notRun = false, events, style } = script;
    if (!notRun) {
      this.runs.push(request);
    }
    const headerLines = [...statedHeaders, `${HEADERS.callId}: ${call}`];
    if (status !== OK) {
      headerLines.push(
        notRun ? `${HEADERS.notRun}: 1` : `${HEADERS.seal}: s-${call}`,
      );
      socket.write(formatEmptyAnswer(status, headerLines));
      return;
    }
    if (script.stop === "never") {
      return;
    }
    if (script.rawParts !== undefined) {
      await writeParts(socket, script.rawParts, script.pace);
      return stopRun(socket, {
        framing: "length",
        stop: script.stop ?? "silent",
      });
    }
    const body = eventsOf(call, { count: events, after, style });
    this.open.add(call);
    const onClose = (): void => void this.open.delete(call);
    socket.once("close", onClose);
    socket.write(
      formatStreamHead(call, { script, length: body.length, statedHeaders }),
    );
    if (await writeBody(socket, body, script)) {
      this.open.delete(call);
      socket.off("close", onClose);
    }
  }

  #statedHeaderLines(): string[] {
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

function formatEmptyAnswer(status: number, headers: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status} x`, ...headers, "content-length: 0"];
  return lines.join("\r\n") + HEAD_END;
}

function formatStreamHead(
  call: string,
  { script: { framing = "chunked" }, length, statedHeaders }: {
    script: RunScript;
    length: number;
    statedHeaders: readonly string[];
  },
): string {
  const framingHeader = {
    chunked: "transfer-encoding: chunked",
    length: `content-length: ${length}`,
    none: "connection: close",
  }[framing];
  return [
    `HTTP/1.1 ${OK} OK`,
    `${HEADERS.callId}: ${call}`,
    `${HEADERS.seal}: s-${call}`,
    "content-type: text/event-stream",
    ...statedHeaders,
    framingHeader,
  ].join("\r\n") + HEAD_END;
}

/** Sends the body as scripted; resolves with whether the answer reached the end that its framing marks. */
async function writeBody(
  socket: Socket,
  body: string,
  script: RunScript,
): Promise<boolean> {
  const { framing = "chunked", stop = "whole", stopAt, onStop } = script;
  await writePieces(
    socket,
    stop === "whole" ? body : body.slice(0, stopAt),
    script,
  );
  onStop?.();
  if (stop === "late") {
    await pause(LATE_DELAY_MS);
    await writePieces(socket, body.slice(stopAt), script);
  }
  if (!socket.destroyed) {
    stopRun(socket, { framing, stop });
  }
  return stop === "whole" || stop === "late" ||
    (stop === "ended" && framing === "chunked");
}

async function writePieces(
  socket: Socket,
  text: string,
  { framing = "chunked", piece, pace = 0 }: RunScript,
): Promise<void> {
  const size = Math.max(1, piece ?? text.length);
  for (let at = 0; at < text.length; at += size) {
    const part = text.slice(at, at + size);
    socket.write(
      framing === "chunked"
        ? `${part.length.toString(16)}\r\n${part}\r\n`
        : part,
      "latin1",
    );
    await (pace > 0 ? pause(pace) : nextEventLoopTurn());
    await waitForDrain(socket);
    if (socket.destroyed) {
      return;
    }
  }
}

/** Waits until the socket's write buffer has drained. */
async function waitForDrain(socket: Socket): Promise<void> {
  while (socket.writableNeedDrain && !socket.destroyed) {
    await pause(1);
  }
}

async function writeParts(
  socket: Socket,
  parts: readonly string[],
  pace = 0,
): Promise<void> {
  for (const part of parts) {
    socket.write(part, "latin1");
    await pause(pace);
  }
}

function nextEventLoopTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function stopRun(
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
