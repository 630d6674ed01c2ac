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
  onRequests,
  type RawRequest,
} from "@sassafrasstep/playground/bytes";
import type { ExtraTime, RefusingBehaviour, RunPlan } from "./behaviours.ts";
import { answerParts, formatExtra, formatRefusal } from "./answer_bytes.ts";
import { endRun, type Run, type RunLedger } from "./run_ledger.ts";

/** Not the address from which connections are opened: one of them could take the port of an endpoint that has ended. */
const HOST = `${NETWORK_PREFIX}.50`;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const EXTRA_DELAY_MS = 60;
/** Time after an answer at which an idle connection is closed, when the next request may be on its way. */
const IDLE_CLOSE_MS = 150;

/** Services of the fleet: plain requests, and streams. */
export type ServiceName = "core" | "model";

/** What an endpoint needs from the fleet. */
export interface EndpointContext {
  readonly ledger: RunLedger;
  /** The plan for the next request of a call that reaches an endpoint, from the entry of a remote port. */
  readonly plan: (
    call: string,
    from: { readonly endpoint: string; readonly port: number },
  ) => RunPlan;
  /** The entry that opened a connection, by its remote port. */
  readonly entryOf: (remotePort: number) => string;
}

/** Connection of an entry, with the number of requests that began to run on it. */
interface EndpointConnection {
  readonly socket: Socket;
  requests: number;
  /** Copies of refusals, to be sent when the same request arrives again. */
  readonly copies: Map<string, string>;
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
    const connection: EndpointConnection = {
      socket,
      requests: 0,
      copies: new Map(),
    };
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    onRequests(socket, (request) => this.#receive(connection, request));
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
    const copy = connection.copies.get(call);
    if (copy !== undefined) {
      connection.copies.delete(call);
      socket.write(copy);
    }
    const plan = this.#context.plan(call, {
      endpoint: this.id,
      port: socket.remotePort ?? 0,
    });
    const { behaviour } = plan;
    if (behaviour.kind === "refuses") {
      return refuse(connection, call, behaviour);
    }
    if (this.#running >= this.#slots) {
      socket.write(formatRefusal(UNAVAILABLE, call));
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
      behaviour: Object.values(behaviour).join(" "),
      startedAt: performance.now(),
    };
    this.#context.ledger.begin(run);
    this.#running++;
    const closed = new AbortController();
    const onClose = (): void => {
      closed.abort();
      run.closedAt = performance.now();
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
      const bytes = formatExtra(behaviour, run.call, parts);
      sendExtra(socket, bytes, behaviour.time);
    }
  }
}

function refuse(
  { socket, copies }: EndpointConnection,
  call: string,
  { status, retryAfterS, copy }: RefusingBehaviour,
): void {
  const lines = retryAfterS === undefined
    ? []
    : [`${HEADERS.retryAfter}: ${retryAfterS}`];
  const bytes = formatRefusal(status, call, lines);
  socket.write(bytes);
  if (copy === "beforeSame") {
    copies.set(call, bytes);
  } else if (copy !== undefined) {
    sendExtra(socket, bytes, copy);
  }
}

/** Sends bytes that belong to no request. */
function sendExtra(
  socket: Socket,
  bytes: string,
  time: Exclude<ExtraTime, "beforeSame">,
): void {
  const send = (): void => {
    if (!socket.destroyed) {
      socket.write(bytes, "latin1");
    }
  };
  switch (time) {
    case "withEnd":
      return send();
    case "later":
      setTimeout(send, EXTRA_DELAY_MS);
      return;
    case "beforeNext":
      // Before the listener that answers the next request.
      socket.prependOnceListener("data", send);
  }
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
