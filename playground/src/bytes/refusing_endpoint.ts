/**
 * An endpoint on raw sockets that refuses requests when they first arrive, and sends each refusal once more.
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
import { onRequests, type RawRequest } from "./raw_request.ts";

/** When a refusal is sent once more on its connection. */
export type CopyTime =
  /** With the refusal. */
  | "atOnce"
  /** A moment after the refusal. */
  | "later"
  /** When the next request has arrived, before its answer. */
  | "beforeNext"
  | "never";

/** What the endpoint does. */
export interface RefusalScript {
  readonly status: number;
  readonly copyTime: CopyTime;
  /** Whether the copy is sent only where the request that was refused arrives again on the connection. */
  readonly forSameCall: boolean;
  /** Whether a request is refused when it first arrives. */
  readonly refuses: (call: string) => boolean;
}

const LATER_MS = 40;
/** A run lasts long enough for a copy to arrive before its answer. */
const RUN_MS = 60;
const BODY = "answer";
const EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/** Not the address from which connections are opened. */
const HOST = "127.0.0.1";

/** Refuses some requests once, and runs them when they arrive again. */
export class RefusingEndpoint {
  readonly id: string;
  script: RefusalScript = {
    status: 503,
    copyTime: "never",
    forSameCall: false,
    refuses: () => false,
  };
  /** Requests that ran, in order. */
  readonly runs: string[] = [];
  readonly #refused = new Set<string>();
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  constructor(id: string) {
    this.id = id;
  }

  async listen(): Promise<string> {
    this.#server.listen(0, HOST);
    await once(this.#server, "listening");
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of times that a request ran. */
  runsOf(call: string): number {
    return this.runs.filter((run) => run === call).length;
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, "close");
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    const owed: { call: string; bytes: string }[] = [];
    onRequests(socket, (request) => {
      const { forSameCall } = this.script;
      const due = owed.filter(({ call }) =>
        !forSameCall || call === request.call
      );
      due.forEach((copy) => owed.splice(owed.indexOf(copy), 1));
      const copies = due.map(({ bytes }) => bytes).join("");
      const { call } = request;
      if (this.#refused.has(call) || !this.script.refuses(call)) {
        write(socket, copies);
        this.#run(socket, request);
      } else {
        this.#refused.add(call);
        this.#refuse(socket, { call, owed, copies });
      }
    });
  }

  #refuse(
    socket: Socket,
    { call, owed, copies }: {
      call: string;
      owed: { call: string; bytes: string }[];
      copies: string;
    },
  ): void {
    const { status, copyTime } = this.script;
    const bytes = [
      `HTTP/1.1 ${status} x`,
      `${HEADERS.callId}: ${call}`,
      `${HEADERS.notRun}: 1`,
      "content-length: 0",
      "\r\n",
    ].join("\r\n");
    write(socket, copies + bytes + (copyTime === "atOnce" ? bytes : ""));
    if (copyTime === "later") {
      setTimeout(() => write(socket, bytes), LATER_MS);
    } else if (copyTime === "beforeNext") {
      owed.push({ call, bytes });
    }
  }

  #run(socket: Socket, { call, headers }: RawRequest): void {
    this.runs.push(call);
    const isStream = headers.has(HEADERS.tokenCounts);
    const body = isStream ? EVENTS : BODY;
    const head = [
      "HTTP/1.1 200 OK",
      `${HEADERS.callId}: ${call}`,
      `${HEADERS.seal}: s`,
      `content-type: ${isStream ? "text/event-stream" : "text/plain"}`,
      `content-length: ${body.length}`,
      "\r\n",
    ].join("\r\n");
    setTimeout(() => write(socket, head + body), RUN_MS);
  }
}

function write(socket: Socket, bytes: string): void {
  if (bytes !== "" && !socket.destroyed) {
    socket.write(bytes, "latin1");
  }
}
