/**
 * A stand-in of the platform's endpoints: plain answers and event streams, and the ways they can fail.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { HEADERS } from "@sassafrasstep/platform";
import { closeAtOnce, listenOnLoopback } from "./loopback.ts";

/** How the endpoint treats a request. */
export type EndpointFault =
  | "none"
  /** Says that it did not run. */
  | "full"
  /** Runs and fails. */
  | "fails"
  /** Runs and breaks off. */
  | "breaks"
  /** Breaks streams off inside an event. */
  | "torn"
  /** Takes the request and never answers. */
  | "silent";

const UNAVAILABLE = 503;
const MISDIRECTED = 421;
const FAILED = 500;
const DEFAULT_PACE_MS = 5;

/** An endpoint on loopback. */
export class StandInEndpoint {
  readonly id: string;
  fault: EndpointFault = "none";
  /** Ids of calls that ran, in order. */
  readonly runs: string[] = [];
  /** Heads of all requests. */
  readonly requests: IncomingMessage[] = [];
  /** When each of them came, in milliseconds of the process's clock. */
  readonly arrivals: number[] = [];
  /** What it says of itself in the head of each answer. */
  stated: Readonly<Record<string, string | string[]>> = {};
  /** Events of a stream. */
  events = 5;
  /** Milliseconds between two of them. */
  pace = DEFAULT_PACE_MS;
  /** Milliseconds before a plain answer. */
  delay = 0;
  readonly #server: Server = createServer((message, reply) =>
    this.#take(message, reply)
  );

  constructor(id: string) {
    this.id = id;
  }

  listen(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  close(): Promise<void> {
    return closeAtOnce(this.#server);
  }

  /** The body that a call gets. */
  static bodyOf(call: string): string {
    return `answer to ${call}`;
  }

  /** What a caller gets of a stream of so many events. */
  static streamOf(events: number): string {
    return Array.from(
      { length: events },
      (_, index) => `id: ${index + 1}\ndata: event ${index + 1}\n\n`,
    ).join("");
  }

  #take(message: IncomingMessage, reply: ServerResponse): void {
    message.resume();
    message.on("end", () => this.#answer(message, reply));
  }

  #answer(message: IncomingMessage, reply: ServerResponse): void {
    this.requests.push(message);
    this.arrivals.push(performance.now());
    const expected = message.headers[HEADERS.expectedEndpoint];
    if (expected !== this.id) {
      reply.writeHead(MISDIRECTED, { [HEADERS.endpoint]: this.id }).end();
      return;
    }
    const call = String(message.headers[HEADERS.callId]);
    if (this.fault === "full") {
      const headers = { ...this.stated, [HEADERS.notRun]: "1" };
      reply.writeHead(UNAVAILABLE, headers).end();
      return;
    }
    if (this.fault === "silent") {
      return;
    }
    this.runs.push(call);
    if (this.fault === "breaks") {
      message.socket.resetAndDestroy();
      return;
    }
    const headers = {
      ...this.stated,
      [HEADERS.callId]: call,
      [HEADERS.seal]: `seal-${call}`,
    };
    if (message.headers[HEADERS.tokenCounts] !== undefined) {
      this.#stream(message, { reply, headers });
      return;
    }
    setTimeout(() => {
      reply.writeHead(this.fault === "fails" ? FAILED : 200, headers);
      reply.end(StandInEndpoint.bodyOf(call));
    }, this.delay);
  }

  #stream(
    message: IncomingMessage,
    { reply, headers }: {
      reply: ServerResponse;
      headers: Record<string, string | string[]>;
    },
  ): void {
    reply.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    const first = Number(message.headers[HEADERS.lastEventId] ?? 0) + 1;
    const say = (id: number): void => {
      if (this.fault === "torn" && id === first + 2) {
        reply.write(`id: ${id}\nda`, () => message.socket.destroy());
      } else if (id > this.events) {
        reply.end();
      } else {
        reply.write(`id: ${id}\ndata: event ${id}\n\n`);
        setTimeout(() => say(id + 1), this.pace);
      }
    };
    say(first);
  }
}
