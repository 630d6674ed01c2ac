/**
 * An endpoint on raw sockets that records in a ledger what it runs.
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
import { HEADERS } from "@sassafrasstep/platform";
import {
  NETWORK_PREFIX,
  parseRequest,
  type RawRequest,
} from "@sassafrasstep/playground/bytes";
import type { Behaviour, RunPlan } from "./behaviours.ts";
import { endRun, type Run, type RunLedger } from "./run_ledger.ts";

/** Not the address from which connections are opened: one of them could take the port of an endpoint that has ended. */
const HOST = `${NETWORK_PREFIX}.50`;
const OK = 200;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const EXTRA_DELAY_MS = 60;
/** Time after an answer at which an idle connection is closed, when the next request may be on its way. */
const IDLE_CLOSE_MS = 150;
const HEAD_END = "\r\n\r\n";

/** Services of the fleet: plain requests, and streams. */
export type ServiceName = "core" | "model";

type ExtraBehaviour = Extract<Behaviour, { kind: "extra" }>;

/** What an endpoint needs from the fleet. */
export interface EndpointContext {
  readonly ledger: RunLedger;
  /** The plan for the next request of a call that reaches an endpoint. */
  readonly plan: (call: string) => RunPlan;
  /** The entry that opened a connection, by its remote port. */
  readonly entryOf: (remotePort: number) => string;
}

/** Connection of an entry, with the number of requests that began to run on it. */
interface EndpointConnection {
  readonly socket: Socket;
  requests: number;
}

/** A place for an endpoint process: the process may end, and others may start at the same address. */
export class LedgerEndpoint {
  /** Id of the process, which changes with each start. */
  id: string;
  service: ServiceName;
  /** Accepts requests and does nothing with them. */
  isHung = false;
  readonly #slots: number;
  readonly #context: EndpointContext;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #port = 0;
  #running = 0;

  constructor(
    { id, service, slots }: {
      id: string;
      service: ServiceName;
      slots: number;
    },
    context: EndpointContext,
  ) {
    this.id = id;
    this.service = service;
    this.#slots = slots;
    this.#context = context;
  }

  get isListening(): boolean {
    return this.#server !== undefined;
  }

  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  /** Starts listening, at the same port each time. */
  async listen(): Promise<void> {
    this.#server = createServer((socket) => this.#accept(socket));
    this.#server.listen(this.#port, HOST);
    await once(this.#server, "listening");
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Ends the process: its connections are reset, and nothing listens at its address. */
  async end(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    if (server !== undefined) {
      server.close();
      await once(server, "close");
    }
  }

  #accept(socket: Socket): void {
    const connection: EndpointConnection = { socket, requests: 0 };
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      const request = parseRequest(text);
      if (request !== undefined) {
        text = "";
        this.#receive(connection, request);
      }
    });
  }

  #receive(connection: EndpointConnection, request: RawRequest): void {
    const { socket } = connection;
    const { call, headers } = request;
    if (headers.get(HEADERS.expectedEndpoint) !== this.id) {
      socket.write(formatRefusal(MISDIRECTED, call, [
        `${HEADERS.endpoint}: ${this.id}`,
      ]));
      return;
    }
    if (this.isHung) {
      return;
    }
    const plan = this.#context.plan(call);
    const { behaviour } = plan;
    if (behaviour.kind === "refuses" || this.#running >= this.#slots) {
      const { status = UNAVAILABLE, retryAfterS = undefined } =
        behaviour.kind === "refuses" ? behaviour : {};
      const lines = retryAfterS === undefined
        ? []
        : [`${HEADERS.retryAfter}: ${retryAfterS}`];
      socket.write(formatRefusal(status, call, lines));
      return;
    }
    void this.#run(connection, { request, plan });
  }

  async #run(
    connection: EndpointConnection,
    { request, plan }: { request: RawRequest; plan: RunPlan },
  ): Promise<void> {
    const { socket } = connection;
    const { behaviour, workMs, stubborn } = plan;
    const run: Run = {
      call: request.call,
      endpoint: this.id,
      service: this.service,
      entry: this.#context.entryOf(socket.remotePort ?? 0),
      after: request.after,
      earlierRequests: connection.requests++,
      behaviour: describeBehaviour(behaviour),
      startedAt: performance.now(),
    };
    this.#context.ledger.begin(run);
    this.#running++;
    const closed = new AbortController();
    const onClose = (): void => {
      closed.abort();
      if (!stubborn) {
        endRun(run, "dropped", performance.now());
      }
    };
    socket.once("close", onClose);
    const stopSignal = stubborn ? undefined : closed.signal;
    if (await sleep(workMs, stopSignal)) {
      await this.#answer(socket, {
        parts: answerParts(request, plan),
        plan,
        signal: stopSignal,
        run,
      });
    }
    socket.off("close", onClose);
    this.#running--;
  }

  /** Sends the parts of an answer as the behaviour says. */
  async #answer(
    socket: Socket,
    { parts, plan: { behaviour, eventMs, closes }, signal, run }: {
      parts: readonly string[];
      plan: RunPlan;
      signal: AbortSignal | undefined;
      run: Run;
    },
  ): Promise<void> {
    const all = parts.join("").length;
    let left = behaviour.kind === "breaks"
      ? Math.floor(all * behaviour.part)
      : Infinity;
    for (const [index, part] of parts.entries()) {
      if (left <= 0 || (index > 1 && !await sleep(eventMs, signal))) {
        break;
      }
      socket.write(part.slice(0, left), "latin1");
      left -= part.length;
    }
    const now = performance.now();
    if (behaviour.kind === "breaks") {
      endRun(run, "broken", now);
      breakOff(socket, behaviour.how);
      return;
    }
    endRun(run, "answered", now);
    if (closes === "announced") {
      socket.end();
    } else if (closes === "idle") {
      setTimeout(() => socket.end(), IDLE_CLOSE_MS);
    }
    if (behaviour.kind === "extra") {
      this.#sendExtra(socket, behaviour, { call: run.call, parts });
    }
  }

  #sendExtra(
    socket: Socket,
    behaviour: ExtraBehaviour,
    { call, parts }: { call: string; parts: readonly string[] },
  ): void {
    const bytes = formatExtra(behaviour, call, parts);
    switch (behaviour.time) {
      case "withEnd":
        socket.write(bytes, "latin1");
        return;
      case "later":
        setTimeout(() => {
          if (!socket.destroyed) {
            socket.write(bytes, "latin1");
          }
        }, EXTRA_DELAY_MS);
        return;
      case "beforeNext":
        socket.once("data", () => {
          if (!socket.destroyed) {
            socket.write(bytes, "latin1");
          }
        });
    }
  }
}

/** The whole answer to a plain request. */
export function plainBody(call: string): string {
  return `answer to ${call}`;
}

/** An event of a stream. */
export function formatEvent(id: number): string {
  return `id: ${id}\ndata: event ${id}\n\n`;
}

function answerParts(
  { call, headers, after }: RawRequest,
  { behaviour, events, closes }: RunPlan,
): string[] {
  const status = behaviour.kind === "fails" ? behaviour.status : OK;
  const isSealed = behaviour.kind !== "fails" || behaviour.sealed;
  const lines = [
    `HTTP/1.1 ${status} x`,
    ...isSealed
      ? [`${HEADERS.callId}: ${call}`, `${HEADERS.seal}: seal-${call}`]
      : [],
  ];
  if (closes === "announced") {
    lines.push("connection: close");
  }
  const isStream = headers.has(HEADERS.tokenCounts) && status === OK;
  if (!isStream) {
    const body = plainBody(call);
    lines.push(`content-length: ${body.length}`);
    return [lines.join("\r\n") + HEAD_END, body];
  }
  lines.push("content-type: text/event-stream", "transfer-encoding: chunked");
  const chunks = Array.from(
    { length: Math.max(0, events - after) },
    (_, index) => {
      const event = formatEvent(after + index + 1);
      return `${event.length.toString(16)}\r\n${event}\r\n`;
    },
  );
  return [lines.join("\r\n") + HEAD_END, ...chunks, "0\r\n\r\n"];
}

function formatRefusal(
  status: number,
  call: string | undefined,
  lines: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status} x`,
    `${HEADERS.notRun}: 1`,
    ...call === undefined ? [] : [`${HEADERS.callId}: ${call}`],
    ...lines,
    "content-length: 0",
  ].join("\r\n") + HEAD_END;
}

function formatExtra(
  { extra, part }: ExtraBehaviour,
  call: string,
  parts: readonly string[],
): string {
  switch (extra) {
    case "copy":
      return parts.join("");
    case "bareRefusal":
      return formatRefusal(UNAVAILABLE, undefined);
    case "namedRefusal":
      return formatRefusal(UNAVAILABLE, call);
    case "misdirected":
      return formatRefusal(MISDIRECTED, undefined);
    case "foreign":
      return [
        `HTTP/1.1 ${OK} x`,
        `${HEADERS.callId}: foreign`,
        `${HEADERS.seal}: seal-foreign`,
        "content-length: 7",
      ].join("\r\n") + HEAD_END + "foreign";
    case "tornRefusal": {
      const lines = [`${HEADERS.retryAfter}: 1`];
      return tear(formatRefusal(UNAVAILABLE, undefined, lines), part);
    }
  }
}

/** Cuts a head at a byte, or at the end of a line, where what follows becomes a part of that line's value. */
function tear(head: string, part: number): string {
  const cut = Math.floor(part * head.length);
  const lineEnd = head.indexOf("\r\n", cut);
  return head.slice(0, cut % 2 === 0 || lineEnd < 0 ? cut : lineEnd);
}

function describeBehaviour(behaviour: Behaviour): string {
  return Object.values(behaviour).join(" ");
}

function breakOff(socket: Socket, how: "reset" | "closed" | "silent"): void {
  if (how === "reset") {
    socket.resetAndDestroy();
  } else if (how === "closed") {
    socket.end();
  }
}

/** Waits; resolves with whether the whole time passed. */
function sleep(ms: number, signal: AbortSignal | undefined): Promise<boolean> {
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve(signal?.aborted !== true);
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener("abort", finish);
  });
}
