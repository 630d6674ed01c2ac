/**
 * A stand-in for the platform's endpoints: plain answers, event streams and the ways in which they can fail.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { HEADERS } from "@sassafrasstep/platform";
import { forceClose, listenOnLoopback } from "./loopback.ts";

/** How the endpoint fails requests. */
export type EndpointFault =
  | "none"
  /** Refuses the request and states that it did not run. */
  | "full"
  /** Runs the request and answers with `failureStatus`, without stating whether it ran. */
  | "fails"
  /** The same without a seal and the request's id. */
  | "failsUnsealed"
  /** Sends a refusal that names no request before the answer to each further request on a connection. */
  | "extraRefusal"
  /** Runs the request and resets the connection. */
  | "breaks"
  /** Closes the connection of a stream inside an event. */
  | "torn"
  /** Accepts the request and never answers. */
  | "silent"
  /** Answers with a success that bears no seal, as another program at the address does. */
  | "unsealed";

const UNAVAILABLE = 503;
const MISDIRECTED = 421;
const FAILED = 500;
const EXTRA_REFUSAL =
  `HTTP/1.1 503 Service Unavailable\r\n${HEADERS.notRun}: 1\r\ncontent-length: 0\r\n\r\n`;
const DEFAULT_EVENT_INTERVAL_MS = 5;

/** An HTTP endpoint on loopback that records its requests. */
export class StandInEndpoint {
  readonly id: string;
  fault: EndpointFault = "none";
  /** Ids of the calls that ran, in order. */
  readonly executedCalls: string[] = [];
  /** All requests received, including those that did not run. */
  readonly requests: IncomingMessage[] = [];
  /** `performance.now()` at the arrival of each request. */
  readonly arrivalTimes: number[] = [];
  /** Headers that it adds to its answers, such as its limit or that it is leaving. */
  statedHeaders: Readonly<Record<string, string | string[]>> = {};
  /** Number of events in a stream. */
  eventCount = 5;
  eventIntervalMs = DEFAULT_EVENT_INTERVAL_MS;
  /** Time before a plain answer. */
  delayMs = 0;
  /** Reason phrase of its complete answers. */
  reasonPhrase = "OK";
  /** Status of the requests that it fails. */
  failureStatus = FAILED;
  /** It fails one of so many requests. */
  failureInterval = 1;
  /** Connections that have carried a request. */
  readonly #usedConnections = new WeakSet<Socket>();
  readonly #server: Server = createServer((message, reply) =>
    this.#receive(message, reply)
  );

  constructor(id: string) {
    this.id = id;
  }

  listen(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  close(): Promise<void> {
    return forceClose(this.#server);
  }

  /** Body of the plain answer to a call. */
  static responseBody(call: string): string {
    return `answer to ${call}`;
  }

  /** Body of a stream with the given number of events. */
  static streamBody(count: number): string {
    return Array.from(
      { length: count },
      (_, index) => `id: ${index + 1}\ndata: event ${index + 1}\n\n`,
    ).join("");
  }

  #receive(message: IncomingMessage, reply: ServerResponse): void {
    message.resume();
    message.on("end", () => this.#respond(message, reply));
  }

  #respond(message: IncomingMessage, reply: ServerResponse): void {
    this.requests.push(message);
    this.arrivalTimes.push(performance.now());
    const expected = message.headers[HEADERS.expectedEndpoint];
    const call = String(message.headers[HEADERS.callId]);
    const refusal = { [HEADERS.callId]: call, [HEADERS.notRun]: "1" };
    if (expected !== this.id) {
      reply.writeHead(MISDIRECTED, { ...refusal, [HEADERS.endpoint]: this.id })
        .end();
      return;
    }
    if (this.fault === "full") {
      const headers = { ...this.statedHeaders, ...refusal };
      reply.writeHead(UNAVAILABLE, headers).end();
      return;
    }
    if (this.fault === "silent") {
      return;
    }
    if (this.fault === "unsealed") {
      reply.end("ok");
      return;
    }
    this.executedCalls.push(call);
    const { socket } = message;
    if (this.fault === "extraRefusal" && this.#usedConnections.has(socket)) {
      socket.write(EXTRA_REFUSAL);
    }
    this.#usedConnections.add(socket);
    const isFailed = this.executedCalls.length % this.failureInterval === 0;
    if (this.fault === "failsUnsealed" && isFailed) {
      reply.writeHead(this.failureStatus, this.statedHeaders).end();
      return;
    }
    if (this.fault === "breaks") {
      message.socket.resetAndDestroy();
      return;
    }
    const headers = {
      ...this.statedHeaders,
      [HEADERS.callId]: call,
      [HEADERS.seal]: `seal-${call}`,
    };
    if (this.fault === "fails" && isFailed) {
      setTimeout(() => {
        reply.writeHead(this.failureStatus, headers);
        reply.end(StandInEndpoint.responseBody(call));
      }, this.delayMs);
      return;
    }
    if (message.headers[HEADERS.tokenCounts] !== undefined) {
      this.#stream(message, { reply, headers });
      return;
    }
    setTimeout(() => {
      reply.writeHead(200, this.reasonPhrase, headers);
      reply.end(StandInEndpoint.responseBody(call));
    }, this.delayMs);
  }

  #stream(
    message: IncomingMessage,
    { reply, headers }: {
      reply: ServerResponse;
      headers: Record<string, string | string[]>;
    },
  ): void {
    reply.writeHead(200, this.reasonPhrase, {
      ...headers,
      "content-type": "text/event-stream",
    });
    const first = Number(message.headers[HEADERS.lastEventId] ?? 0) + 1;
    const writeEvent = (id: number): void => {
      if (this.fault === "torn" && id === first + 2) {
        reply.write(`id: ${id}\nda`, () => message.socket.destroy());
      } else if (id > this.eventCount) {
        reply.end();
      } else {
        reply.write(`id: ${id}\ndata: event ${id}\n\n`);
        setTimeout(() => writeEvent(id + 1), this.eventIntervalMs);
      }
    };
    writeEvent(first);
  }
}
