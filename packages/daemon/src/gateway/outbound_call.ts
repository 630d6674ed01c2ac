/**
 * One attempt of a call: sends the request on a connection and forwards the answer to the caller.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import {
  type CallAttempt,
  type CallEnd,
  type GatewayEffect,
  type GatewayEvent,
  type Incarnation,
  type Instant,
  type Milliseconds,
  promisesNotRun,
  type Revision,
  type StreamOrigin,
} from "@sassafrasstep/core";
import type { Dispatcher } from "undici";
import {
  ConnectError,
  type Connection,
  type ConnectionPool,
} from "./connection_pool.ts";
import type { CompleteEvents } from "./event_splitter.ts";
import { EventStreamReader } from "./event_stream_reader.ts";
import type { AnswerSource, AnswerWriter } from "./answer_writer.ts";
import type { Exchange } from "./exchange.ts";
import { ChunkJoiner, ChunkList, isFramed } from "../sockets/index.ts";
import { afterPoll, type Cancel } from "../timers/index.ts";
import {
  DOCUMENT_VERSION_HEADER,
  formatRelayHeader,
  formatStreamOrigin,
  RELAY_ATTEMPT_HEADER,
  RELAY_HEADER,
  RESUMED_RELAY_HEADER,
  STREAM_ORIGIN_HEADER,
} from "./relay_header.ts";
import type { EndpointProtocol, RawHeaders } from "./protocol.ts";
import {
  containsStatusLine,
  decodeHeaders,
  isEventStream,
  withoutContentLength,
} from "./raw_headers.ts";

/**
 * Plain answers up to this size are held until complete, so that the request can be retried after a truncated
 * one.
 */
const MAX_HELD_BYTES = 262_144;
/** How much of an unwanted answer is read so that its connection can be reused. */
const MAX_DISCARDED_BYTES = 16_384;
/** How long an unwanted answer is read. The limit is needed because the rest may never arrive. */
const DISCARD_TIMEOUT_MS = 1_000;
const FIRST_FINAL_STATUS = 200;
/** Interim responses before an answer. A server that sends more is not going to answer. */
const MAX_INTERIM_RESPONSES = 16;
const OK = 200;
/** Maximum number of open connections to one peer. */
const PEER_CONNECTIONS = 64;

/** What attempts need from the entry. */
export interface OutboundContext {
  readonly incarnation: Incarnation;
  readonly protocol: EndpointProtocol;
  readonly connections: ConnectionPool;
  readonly now: () => Instant;
  /** Passes an event to the gateway, runs the resulting effects and returns them. */
  readonly dispatch: (event: GatewayEvent) => readonly GatewayEffect[];
  /** Called when the attempt is finished. */
  readonly onDone: (attempt: CallAttempt) => void;
}

/** What the gateway decides about an answer that is wanted. */
type AnswerDecision = Extract<GatewayEffect, { kind: "forward" | "goOn" }>;

/** What is done with the bytes of the answer. */
type ForwardingMode =
  /** The answer has not begun. */
  | "waiting"
  /** Held until the answer is complete. */
  | "holding"
  /** Forwarded event by event. */
  | "events"
  /** Forwarded as they arrive. */
  | "bytes"
  /** Discarded, to reuse the connection. */
  | "discarding";

/** One attempt under way. */
export class OutboundCall implements Dispatcher.DispatchHandler, AnswerSource {
  readonly #attempt: CallAttempt;
  readonly #exchange: Exchange;
  readonly #context: OutboundContext;
  #connection: Connection | undefined;
  /** Set if the answer is an event stream. */
  #eventReader: EventStreamReader | undefined;
  /** Set once the answer is being forwarded to the caller. */
  #writer: AnswerWriter | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #mode: ForwardingMode = "waiting";
  #interimResponses = 0;
  #status = 0;
  #headers: RawHeaders = [];
  #framed = false;
  readonly #heldBytes = new ChunkList();
  readonly #received = new ChunkJoiner((bytes) => this.#onBody(bytes));
  #receivedBytes = 0;
  #finished = false;
  #cancelDiscardTimer: Cancel | undefined;

  constructor(
    attempt: CallAttempt,
    { exchange, context }: {
      exchange: Exchange;
      context: OutboundContext;
    },
  ) {
    this.#attempt = attempt;
    this.#exchange = exchange;
    this.#context = context;
  }

  /** Acquires a connection and sends the request if the gateway still wants it. */
  start(): void {
    const { target, maxIdleTime } = this.#attempt;
    const { connections, now } = this.#context;
    const crossRegion = target.kind === "peer";
    const limit = target.kind === "peer"
      ? PEER_CONNECTIONS
      : target.connections;
    connections.acquire(
      { address: target.address, limit, maxIdleTime, crossRegion },
      now(),
      (result) => this.#onConnected(result),
    );
  }

  /** Aborts the attempt and closes its connection. */
  abort(): void {
    if (this.#finished) {
      return;
    }
    this.#stop();
    this.#controller?.abort(new Error("Attempt was given up"));
    this.#connection?.close();
    this.#context.onDone(this.#attempt);
  }

  pause(): void {
    this.#connection!.pauseReading();
    this.#reportHeld(true);
  }

  resume(): void {
    this.#connection!.resumeReading();
    this.#reportHeld(false);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#finished) {
      controller.abort(new Error("Attempt was given up"));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    reason?: string,
  ): void {
    if (this.#finished) {
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      return this.#countInterimResponse();
    }
    this.#status = status;
    this.#headers = decodeHeaders(controller.rawHeaders as Buffer[]);
    if (containsStatusLine(reason, this.#headers)) {
      // Bytes before the answer stopped inside a head. The status may be theirs and the rest that of the answer.
      return this.#reportEnd({
        kind: "lost",
        detail: "Two answers ran into one",
      });
    }
    this.#framed = isFramed(headers);
    this.#connection!.closeDelimited = !this.#framed;
    if (!this.#attempt.streaming) {
      this.#mode = "holding";
    } else if (status === OK && isEventStream(this.#headers)) {
      this.#startForwarding("events");
    } else {
      // The headers suffice to decide whether the answer is wanted. If it were held until complete, a failure
      // whose body never ends would keep the request from the next endpoint.
      this.#startForwarding("bytes");
    }
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    this.#connection?.addBody(chunk.length);
    this.#received.push(chunk);
  }

  #onBody(chunk: Buffer): void {
    if (this.#finished) {
      return;
    }
    this.#receivedBytes += chunk.length;
    switch (this.#mode) {
      case "events":
        return this.#forwardEvents(chunk);
      case "bytes":
        return this.#forwardBytes(chunk);
      case "holding":
        return this.#holdChunk(chunk);
      default:
        if (this.#receivedBytes > MAX_DISCARDED_BYTES) {
          this.abort();
        }
    }
  }

  onResponseEnd(): void {
    this.#received.flush();
    const isCutOff = this.#connection?.isCutOff === true;
    // The client closes the connection after this call, if the answer says so or more bytes were read with its end.
    // A request that waits for the connection would not be written.
    queueMicrotask(() => this.#end(isCutOff));
  }

  #end(isCutOff: boolean): void {
    if (this.#finished) {
      return;
    }
    if (isCutOff) {
      return this.#reportEnd({ kind: "lost", detail: "Answer was cut off" });
    }
    switch (this.#mode) {
      case "holding":
        return this.#completeHeld();
      case "events":
        return this.#endEvents();
      case "bytes":
        return this.#reportEnd({ kind: "complete" });
      default:
        this.#finishDiscarded();
    }
  }

  onResponseError(_controller: unknown, error: Error): void {
    this.#received.flush();
    const detail = error.message;
    // The client hands out the controller before it writes the first byte.
    const isWritten = this.#controller !== undefined;
    this.#reportEnd(
      isWritten
        ? { kind: "lost", detail }
        : { kind: "unsent", detail, refused: false },
    );
  }

  #onConnected(result: Connection | ConnectError): void {
    if (this.#finished) {
      if (!(result instanceof ConnectError)) {
        this.#context.connections.release(result, this.#context.now());
      }
      return;
    }
    if (result instanceof ConnectError) {
      const { message: detail, refused } = result;
      return this.#reportEnd({ kind: "unsent", detail, refused });
    }
    const { id } = this.#attempt;
    const effects = this.#context.dispatch({ kind: "commit", attempt: id });
    const proceed = effects.find((effect) =>
      effect.kind === "proceed" && effect.attempt === id
    );
    if (proceed?.kind === "proceed") {
      this.#connection = result;
      this.#sendRequest(result, proceed.timeLeft);
    } else {
      this.#finished = true;
      this.#context.connections.release(result, this.#context.now());
      this.#context.onDone(this.#attempt);
    }
  }

  #sendRequest({ client }: Connection, timeLeft: Milliseconds): void {
    const { target, customer, resumeAfter, origin } = this.#attempt;
    const { protocol, incarnation } = this.#context;
    const headers = protocol.requestHeaders(this.#exchange.rawHeaders, {
      target,
      customer,
      timeLeft,
      resumeAfter,
    });
    if (target.kind === "peer") {
      const { sentBefore, documentVersion } = target;
      const relayInfo = {
        from: incarnation,
        sentBefore,
        customer,
        origin,
        documentVersion,
      };
      const { fingerprint } = this.#exchange.head;
      headers.push(
        origin === undefined ? RELAY_HEADER : RESUMED_RELAY_HEADER,
        formatRelayHeader(relayInfo, fingerprint),
        RELAY_ATTEMPT_HEADER,
        this.#attempt.id,
      );
    }
    this.#connection!.beginAnswer();
    client.dispatch({
      path: this.#exchange.head.target,
      method: this.#exchange.method as Dispatcher.HttpMethod,
      headers,
      body: this.#exchange.body,
    }, this);
  }

  #countInterimResponse(): void {
    this.#interimResponses++;
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      this.#reportEnd({ kind: "lost", detail: "Too many interim responses" });
    }
  }

  /**
   * Asks the gateway what to do with the answer: `forward` starts a new answer to the caller, `goOn` continues the
   * stream that a previous attempt began. In other cases the answer is discarded, or the attempt ends if the answer
   * belongs to another request; then returns `undefined`.
   */
  #submitHead(mode: "events" | "bytes"): AnswerDecision | undefined {
    const { protocol, dispatch } = this.#context;
    const { id } = this.#attempt;
    const { isReused: reusedConnection } = this.#connection!;
    const head = protocol.readHead(this.#status, this.#headers, {
      call: this.#exchange.head.call,
      attempt: id,
      target: this.#attempt.target,
      reusedConnection,
    });
    if (!head.matches) {
      // The bytes don't belong to this request, so nothing more on this connection can be trusted.
      this.#reportEnd({
        kind: "lost",
        detail: "Answer is not shown to belong to the request",
      });
      return undefined;
    }
    const answer = { ...head, events: mode === "events", reusedConnection };
    const effects = dispatch({ kind: "answered", attempt: id, answer });
    const decision = effects.find((effect) =>
      (effect.kind === "forward" || effect.kind === "goOn") &&
      effect.attempt === id
    );
    if (decision?.kind !== "forward" && decision?.kind !== "goOn") {
      const isRefusal = head.notRun || promisesNotRun(this.#status);
      if (isRefusal && this.#attempt.target.kind === "endpoint") {
        // An endpoint may send a refusal once more. On a connection that is used again, the copy could be taken for
        // the answer to the same request, sent again, or reach another request in place of its answer.
        this.abort();
      } else {
        this.#discard();
      }
      return undefined;
    }
    this.#mode = mode;
    return decision;
  }

  /** Begins to forward the answer if the gateway wants it. */
  #startForwarding(mode: "events" | "bytes"): void {
    const decision = this.#submitHead(mode);
    if (decision === undefined) {
      return;
    }
    const resuming = decision.kind === "goOn";
    if (mode === "events") {
      this.#eventReader = new EventStreamReader(
        resuming ? this.#attempt.resumeAfter : undefined,
      );
    }
    if (decision.kind === "forward") {
      const headers = this.#answerHeaders(decision);
      this.#exchange.begin(
        this.#status,
        // Another endpoint may continue the stream, with a different length. Given the length of this answer,
        // the caller could take a stream that ends inside an event for complete.
        mode === "events" ? withoutContentLength(headers) : headers,
      );
    }
    this.#writer = this.#exchange.openWriter(this);
  }

  /** Headers for the caller, or for the entry that relayed the request. */
  #answerHeaders(
    { origin, documentVersion }: {
      origin: StreamOrigin | undefined;
      documentVersion?: Revision | undefined;
    },
  ): RawHeaders {
    const headers = this.#context.protocol.answerHeaders(this.#headers);
    if (this.#exchange.head.relay === undefined) {
      return headers;
    }
    if (origin !== undefined) {
      headers.push(STREAM_ORIGIN_HEADER, formatStreamOrigin(origin));
    }
    if (documentVersion !== undefined) {
      headers.push(DOCUMENT_VERSION_HEADER, String(documentVersion));
    }
    return headers;
  }

  /** Reads and discards the rest to keep the connection reusable, unless that takes too long. */
  #discard(): void {
    this.#mode = "discarding";
    if (!this.#finished) {
      this.#cancelDiscardTimer = afterPoll(
        DISCARD_TIMEOUT_MS,
        () => this.abort(),
      );
    }
  }

  #forwardBytes(chunk: Buffer): void {
    this.#writer!.write(chunk);
    // The time to the first event measures the engine's prefill, and the bytes of a failure are no event.
    if (this.#status === OK) {
      this.#reportProgress();
    }
  }

  #forwardEvents(chunk: Buffer): void {
    const { events, fault } = this.#eventReader!.push(chunk);
    if (events !== undefined) {
      this.#writer!.write(events.bytes);
    }
    // Reported after the write: an event reported as forwarded but never written would be lost to the caller.
    this.#reportProgress(events);
    if (fault !== undefined) {
      this.#reportEnd({ kind: "lost", detail: fault });
    }
  }

  #reportProgress(events?: CompleteEvents): void {
    this.#context.dispatch({
      kind: "progress",
      attempt: this.#attempt.id,
      lastEventId: events?.lastId,
      unnumbered: events?.unnumbered ?? false,
      unfinished: this.#eventReader?.unfinishedBytes ?? 0,
    });
  }

  #reportHeld(held: boolean): void {
    this.#context.dispatch({ kind: "held", attempt: this.#attempt.id, held });
  }

  #holdChunk(chunk: Buffer): void {
    this.#heldBytes.add(chunk);
    if (this.#receivedBytes <= MAX_HELD_BYTES) {
      // Without this progress report, the endpoint would be treated as silent and the request would be run again.
      return this.#reportProgress();
    }
    this.#startForwarding("bytes");
    this.#writer?.write(this.#heldBytes.take());
  }

  /** Forwards a held answer that is now complete. */
  #completeHeld(): void {
    const decision = this.#submitHead("bytes");
    if (this.#finished) {
      return;
    }
    if (decision?.kind !== "forward") {
      return this.#finishDiscarded();
    }
    this.#exchange.respond(this.#status, {
      headers: withoutContentLength(this.#answerHeaders(decision)),
      body: this.#heldBytes.take(),
    });
    this.#reportEnd({ kind: "complete" });
  }

  #endEvents(): void {
    const resumed = this.#attempt.resumeAfter !== undefined;
    const end = this.#eventReader!.end({ framed: this.#framed, resumed });
    if (end.kind === "torn") {
      return this.#reportEnd({ kind: "lost", detail: end.fault });
    }
    this.#writer!.write(end.rest);
    this.#reportEnd({ kind: "complete" });
  }

  #reportEnd(end: CallEnd): void {
    if (this.#finished) {
      return;
    }
    this.#stop();
    if (end.kind !== "complete") {
      this.#controller?.abort(new Error("Attempt was lost"));
      this.#connection?.close();
    }
    this.#releaseConnection();
    this.#context.onDone(this.#attempt);
    this.#context.dispatch({ kind: "ended", attempt: this.#attempt.id, end });
  }

  /** Finishes the attempt after an unwanted answer was read to its end. The connection can be reused. */
  #finishDiscarded(): void {
    this.#stop();
    this.#releaseConnection();
    this.#context.onDone(this.#attempt);
  }

  #stop(): void {
    this.#finished = true;
    this.#cancelDiscardTimer?.();
    this.#writer?.close();
  }

  #releaseConnection(): void {
    if (this.#connection !== undefined) {
      this.#context.connections.release(this.#connection, this.#context.now());
    }
  }
}
