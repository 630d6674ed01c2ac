/**
 * The address for callers, and the same for entries that pass requests on.
 *
 * Node's own server stands here and not h3: its web requests merge and lower-case headers, and what
 * passes through must stay as it was.
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
import type {
  CallerLimits,
  RequestFingerprint,
  RequestId,
} from "@sassafrasstep/core";
import { closeIdleAfterPoll } from "../timers/index.ts";
import { Exchange } from "./exchange.ts";
import { FingerprintBuilder } from "./fingerprints.ts";
import type { CallerProtocol } from "./protocol.ts";
import { readRelay, RELAY_HEADER } from "./relay_header.ts";

/** Larger heads are refused; callers' own limit is lower. */
const MAX_HEADER_BYTES = 65_536;
/** A head that is slower than this is no caller's. */
const HEAD_TIMEOUT_MS = 30_000;
/** A kept connection outlives the time that callers may leave it idle by this much. */
const IDLE_MARGIN_MS = 2_000;
const DEFAULT_IDLE_MS = 60_000;
const DEFAULT_BODY_BYTES = 4_194_304;
const BAD_REQUEST = 400;
const TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;

/** What the server works for. */
export interface IngressEvents {
  readonly protocol: CallerProtocol;
  readonly limits: () => CallerLimits | undefined;
  readonly closing: () => boolean;
  nextRequestId(): RequestId;
  /** A request has arrived with its whole body. */
  open(exchange: Exchange): void;
  /** The caller has left before its answer was complete. */
  gone(request: RequestId): void;
}

/** Makes the server. `relays`: requests come from other entries. */
export function createIngress(
  events: IngressEvents,
  { relays }: { relays: boolean },
): Server {
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
    (message, reply) => take(events, { message, reply, relays }),
  );
  server.headersTimeout = HEAD_TIMEOUT_MS;
  server.requestTimeout = 0;
  server.timeout = 0;
  server.keepAliveTimeout = DEFAULT_IDLE_MS;
  server.on("clientError", answerMalformed);
  closeIdleAfterPoll(server);
  return server;
}

/** Keeps the server's idle time above the one that callers were told. */
export function applyLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTime + IDLE_MARGIN_MS;
}

interface Arrival {
  readonly message: IncomingMessage;
  readonly reply: ServerResponse;
  readonly relays: boolean;
}

function take(events: IngressEvents, arrival: Arrival): void {
  const { message, reply, relays } = arrival;
  const limit = events.limits()?.bodyBytes ?? DEFAULT_BODY_BYTES;
  const chunks: Buffer[] = [];
  const fingerprint = relays ? undefined : new FingerprintBuilder(message);
  let size = 0;
  message.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > limit) {
      message.removeAllListeners("data");
      message.resume();
      end(reply, TOO_LARGE);
    } else {
      chunks.push(chunk);
      fingerprint?.add(chunk);
    }
  });
  message.on("end", () => {
    if (size <= limit) {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      open(events, arrival, { body, fingerprint: fingerprint?.build() });
    }
  });
  message.on("error", () => reply.destroy());
}

function open(
  events: IngressEvents,
  { message, reply }: Arrival,
  { body, fingerprint }: {
    body: Buffer;
    /** `undefined` for a request that an entry passes on. */
    fingerprint: RequestFingerprint | undefined;
  },
): void {
  const head = events.protocol.readHead(message);
  const facts = fingerprint === undefined
    ? readRelay(message.headers[RELAY_HEADER])
    : { fingerprint, relay: undefined };
  if (head === undefined || facts === undefined) {
    end(reply, BAD_REQUEST);
    return;
  }
  const id = events.nextRequestId();
  reply.on("close", () => {
    if (!reply.writableFinished) {
      events.gone(id);
    }
  });
  events.open(
    new Exchange({
      head: { ...head, ...facts, id, bodyBytes: body.length },
      body,
      message,
      reply,
      protocol: events.protocol,
      closing: events.closing,
    }),
  );
}

/** A request that is malformed, too large or stopped short leaves the stream unusable: the connection ends. */
function end(reply: ServerResponse, status: number): void {
  reply.writeHead(status, { connection: "close", "content-length": 0 });
  reply.end();
}

function answerMalformed(
  error: Error & { code?: string },
  socket: { writable: boolean } & Pick<Socket, "end" | "destroy">,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = error.code === "HPE_HEADER_OVERFLOW"
    ? `${HEADERS_TOO_LARGE} Request Header Fields Too Large`
    : `${BAD_REQUEST} Bad Request`;
  socket.end(
    `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
  );
}
