/**
 * HTTP server that accepts requests from callers, and requests relayed by peers.
 *
 * It uses Node's HTTP server rather than h3, whose web requests merge headers and convert their names to
 * lower case: forwarded headers must stay unchanged.
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
import {
  type CallerLimits,
  type CallRefusal,
  createCallRefusal,
  milliseconds,
  type RepetitionDigests,
  type RequestId,
} from "@sassafrasstep/core";
import { ChunkList, RequestSequence } from "../sockets/index.ts";
import { closeIdleAfterPoll } from "../timers/index.ts";
import type { BodyBudget } from "./body_budget.ts";
import { Exchange } from "./exchange.ts";
import { DigestBuilder } from "./digest_builder.ts";
import type { CallerProtocol } from "./protocol.ts";
import {
  parseRelayHeader,
  RELAY_HEADER,
  RESUMED_RELAY_HEADER,
} from "./relay_header.ts";
import { refusalAnswer } from "./refusal_answer.ts";

/** Limit of the request headers. Callers themselves are given a lower limit. */
const MAX_HEADER_BYTES = 65_536;
/** Time within which the request headers must arrive. No regular caller takes longer. */
const HEAD_TIMEOUT_MS = 30_000;
/** How much longer the server keeps idle connections than callers may reuse them. */
const IDLE_MARGIN_MS = 2_000;
const DEFAULT_IDLE_MS = 60_000;
const DEFAULT_BODY_BYTES = 4_194_304;
/** Callers that are refused together return one after another. */
const MIN_BODY_RETRY_MS = 500;
const BODY_RETRY_SPREAD_MS = 1_000;
const BAD_REQUEST = 400;
const TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;

/** Settings and callbacks of the server. */
export interface IngressOptions {
  readonly protocol: CallerProtocol;
  readonly limits: () => CallerLimits | undefined;
  readonly closing: () => boolean;
  nextRequestId(): RequestId;
  /** Memory for the bodies of requests. */
  readonly bodies: BodyBudget;
  /** Called when a request was refused because there is no memory for its body. */
  onRefused(refusal: CallRefusal): void;
  /** Called when a request has arrived with its complete body. */
  onRequest(exchange: Exchange): void;
  /** Called when the caller disconnected before its answer was complete. */
  onCallerGone(request: RequestId): void;
}

/** Creates the server. `relays` states whether its requests come from other entries. */
export function createIngress(
  options: IngressOptions,
  { relays }: { relays: boolean },
): Server {
  const sequence = new RequestSequence();
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
    sequence.wrap((message, reply) =>
      readRequest(options, { message, reply, relays, sequence })
    ),
  );
  server.headersTimeout = HEAD_TIMEOUT_MS;
  server.requestTimeout = 0;
  server.timeout = 0;
  server.keepAliveTimeout = DEFAULT_IDLE_MS;
  server.on("clientError", answerMalformed);
  closeIdleAfterPoll(server);
  return server;
}

/** Sets the server's keep-alive timeout above the idle time that callers were told. */
export function applyLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTime + IDLE_MARGIN_MS;
}

interface Arrival {
  readonly message: IncomingMessage;
  readonly reply: ServerResponse;
  readonly relays: boolean;
  readonly sequence: RequestSequence;
}

function readRequest(options: IngressOptions, arrival: Arrival): void {
  const { message, reply, relays } = arrival;
  const limit = options.limits()?.bodyBytes ?? DEFAULT_BODY_BYTES;
  const chunks = new ChunkList();
  const digests = relays ? undefined : new DigestBuilder(message);
  const reservation = options.bodies.open();
  reply.once("close", () => reservation.release());
  let size = 0;
  let accepted = true;
  const stopReading = (): void => {
    accepted = false;
    message.removeAllListeners("data");
    message.resume();
  };
  const statedSize = Number(message.headers["content-length"] ?? 0);
  if (!reservation.growTo(Math.min(statedSize, limit))) {
    stopReading();
    return refuseBody(options, reply);
  }
  message.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > limit) {
      stopReading();
      rejectRequest(reply, TOO_LARGE);
    } else if (!reservation.growTo(size)) {
      stopReading();
      refuseBody(options, reply);
    } else {
      chunks.add(chunk);
      digests?.update(chunk);
    }
  });
  message.on("end", () => {
    if (accepted) {
      openExchange(options, arrival, {
        body: chunks.take(),
        digests: digests?.build(),
      });
    }
  });
  message.on("error", () => reply.destroy());
}

function openExchange(
  options: IngressOptions,
  { message, reply, sequence }: Arrival,
  { body, digests }: {
    body: Buffer;
    /** `undefined` for a request relayed by another entry. */
    digests: RepetitionDigests | undefined;
  },
): void {
  const stated = options.protocol.readHead(message);
  const origin = digests === undefined
    ? parseRelayHeader(
      message.headers[RELAY_HEADER] ?? message.headers[RESUMED_RELAY_HEADER],
    )
    : { digests, relay: undefined };
  if (stated === undefined || origin === undefined) {
    rejectRequest(reply, BAD_REQUEST);
    return;
  }
  const { sharedParts: parts, ...head } = stated;
  const { relay } = origin;
  const fingerprint = { ...origin.digests, parts };
  const id = options.nextRequestId();
  reply.on("close", () => {
    if (!reply.writableFinished) {
      options.onCallerGone(id);
    }
  });
  options.onRequest(
    new Exchange({
      head: { ...head, fingerprint, relay, id, bodyBytes: body.length },
      body,
      message,
      reply,
      protocol: options.protocol,
      closing: () => options.closing() && !sequence.hasNext(reply),
    }),
  );
}

/**
 * Rejects a request and closes the connection, which cannot be reused after a malformed, oversized or
 * truncated request.
 */
function rejectRequest(reply: ServerResponse, status: number): void {
  reply.writeHead(status, { connection: "close", "content-length": 0 });
  reply.end();
}

/** Refuses a request whose body is not read: it has not run. The connection can't be used further. */
function refuseBody(
  { protocol, onRefused }: IngressOptions,
  reply: ServerResponse,
): void {
  const refusal = createCallRefusal("memory_limit", {
    verdict: { kind: "not_run" },
    offered: 0,
    retryAfter: milliseconds(
      MIN_BODY_RETRY_MS + Math.random() * BODY_RETRY_SPREAD_MS,
    ),
  });
  const { headers, body } = refusalAnswer(refusal, protocol);
  reply.writeHead(refusal.status, [
    ...headers,
    "connection",
    "close",
    "content-length",
    String(body.length),
  ]);
  reply.end(body);
  onRefused(refusal);
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
