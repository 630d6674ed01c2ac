/**
 * One attempt: a request on a connection, and its answer on the way to the caller.
 *
 * @module
 */
import type {
  CallAttempt,
  CallEnd,
  GatewayEffect,
  GatewayEvent,
  Incarnation,
  Instant,
  Milliseconds,
} from "@sassafrasstep/core";
import type { Dispatcher } from "undici";
import {
  ConnectError,
  type Connection,
  type Connections,
} from "./connections.ts";
import type { WholeEvents } from "./event_cutter.ts";
import { EventPassage } from "./event_passage.ts";
import type { AnswerSource, AnswerWriter } from "./answer_writer.ts";
import type { Exchange } from "./exchange.ts";
import { afterPoll, type Cancel } from "../timers/index.ts";
import { RELAY_HEADER, writeRelay } from "./relay_header.ts";
import type { EndpointProtocol, RawHeaders } from "./protocol.ts";
import {
  decodeHeaders,
  isEventStream,
  isFramed,
  withoutLength,
} from "./raw_headers.ts";

/** Plain answers up to this size are held until they are whole, so that a torn one can be repeated. */
const MAX_HELD_BYTES = 262_144;
/** Of an answer that nobody wants so much is read, to keep its connection. */
const MAX_DISCARDED_BYTES = 16_384;
/** And for so long: the rest may never come. */
const MOST_DISCARDING_MS = 1_000;
const FIRST_FINAL_STATUS = 200;
const OK = 200;
/** Connections to one peer. */
const PEER_CONNECTIONS = 64;

/** What attempts work with. */
export interface OutboundTools {
  readonly incarnation: Incarnation;
  readonly protocol: EndpointProtocol;
  readonly connections: Connections;
  readonly now: () => Instant;
  /** Tells the gateway; runs the effects, and returns them. */
  readonly tell: (event: GatewayEvent) => readonly GatewayEffect[];
  /** The attempt needs nothing any more. */
  readonly done: (attempt: CallAttempt) => void;
}

/** What happens to the bytes of the answer. */
type Mode =
  | "waiting"
  /** Kept until the answer is whole. */
  | "holding"
  /** Passed on event by event. */
  | "events"
  /** Passed on as they come. */
  | "bytes"
  | "discarding";

/** One attempt under way. */
export class OutboundCall implements Dispatcher.DispatchHandler, AnswerSource {
  readonly #attempt: CallAttempt;
  readonly #exchange: Exchange;
  readonly #tools: OutboundTools;
  #connection: Connection | undefined;
  /** Set for an answer of events. */
  #passage: EventPassage | undefined;
  /** Set while bytes of the answer may go to the caller. */
  #writer: AnswerWriter | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #mode: Mode = "waiting";
  #status = 0;
  #reason = "";
  #headers: RawHeaders = [];
  #framed = false;
  #kept: Buffer[] = [];
  #bytes = 0;
  #over = false;
  #endDiscarding: Cancel | undefined;

  constructor(
    attempt: CallAttempt,
    { exchange, tools }: { exchange: Exchange; tools: OutboundTools },
  ) {
    this.#attempt = attempt;
    this.#exchange = exchange;
    this.#tools = tools;
  }

  /** Gets a connection and, if the request is still to be sent, writes it. */
  start(): void {
    const { target, maxIdleTime } = this.#attempt;
    const { connections, now } = this.#tools;
    const far = target.kind === "peer";
    const limit = target.kind === "peer"
      ? PEER_CONNECTIONS
      : target.connections;
    connections.take(
      { address: target.address, limit, mostIdle: maxIdleTime, far },
      now(),
      (result) => this.#connected(result),
    );
  }

  /** The gateway wants no more of this attempt. */
  abort(): void {
    if (this.#over) {
      return;
    }
    this.#stop();
    this.#controller?.abort(new Error("Attempt was given up"));
    this.#connection?.close();
    this.#tools.done(this.#attempt);
  }

  hold(): void {
    this.#connection!.hold();
    this.#tellHeld(true);
  }

  release(): void {
    this.#connection!.release();
    this.#tellHeld(false);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#over) {
      controller.abort(new Error("Attempt was given up"));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    _headers: unknown,
    reason?: string,
  ): void {
    if (status < FIRST_FINAL_STATUS || this.#over) {
      return;
    }
    this.#status = status;
    this.#reason = reason ?? "";
    this.#headers = decodeHeaders(controller.rawHeaders as Buffer[]);
    this.#framed = isFramed(this.#headers);
    this.#connection!.endsAnswer = !this.#framed;
    if (!this.#attempt.streaming) {
      this.#mode = "holding";
    } else if (status === OK && isEventStream(this.#headers)) {
      this.#passOn("events");
    } else {
      // What is not wanted is known by its head; kept until whole, a failure whose body never ends would
      // keep its caller from the next endpoint.
      this.#passOn("bytes");
    }
  }

  onResponseData(_controller: unknown, chunk: Buffer): void {
    if (this.#over) {
      return;
    }
    this.#bytes += chunk.length;
    switch (this.#mode) {
      case "events":
        return this.#passEvents(chunk);
      case "bytes":
        return this.#passBytes(chunk);
      case "holding":
        return this.#keep(chunk);
      default:
        if (this.#bytes > MAX_DISCARDED_BYTES) {
          this.abort();
        }
    }
  }

  onResponseEnd(): void {
    if (this.#over) {
      return;
    }
    if (!this.#framed && this.#connection?.failed === true) {
      return this.#end({ kind: "lost", detail: "Answer was cut off" });
    }
    switch (this.#mode) {
      case "holding":
        return this.#takeWhole();
      case "events":
        return this.#endEvents();
      case "bytes":
        return this.#end({ kind: "complete" });
      default:
        this.#finish();
    }
  }

  onResponseError(_controller: unknown, error: Error): void {
    this.#end({ kind: "lost", detail: error.message });
  }

  #connected(result: Connection | ConnectError): void {
    if (this.#over) {
      if (!(result instanceof ConnectError)) {
        this.#tools.connections.giveBack(result, this.#tools.now());
      }
      return;
    }
    if (result instanceof ConnectError) {
      const { message: detail, refused } = result;
      return this.#end({ kind: "unsent", detail, refused });
    }
    const { id } = this.#attempt;
    const effects = this.#tools.tell({ kind: "commit", attempt: id });
    const proceed = effects.find((effect) =>
      effect.kind === "proceed" && effect.attempt === id
    );
    if (proceed?.kind === "proceed") {
      this.#connection = result;
      this.#write(result, proceed.timeLeft);
    } else {
      this.#over = true;
      this.#tools.connections.giveBack(result, this.#tools.now());
      this.#tools.done(this.#attempt);
    }
  }

  #write({ client }: Connection, timeLeft: Milliseconds): void {
    const { target, customer, resumeAfter } = this.#attempt;
    const { protocol, incarnation } = this.#tools;
    const headers = protocol.requestHeaders(this.#exchange.rawHeaders, {
      target,
      customer,
      timeLeft,
      resumeAfter,
    });
    if (target.kind === "peer") {
      const { sentBefore } = target;
      const facts = { from: incarnation, sentBefore, customer };
      const { fingerprint } = this.#exchange.head;
      headers.push(RELAY_HEADER, writeRelay(facts, fingerprint));
    }
    client.dispatch({
      path: this.#exchange.head.target,
      method: this.#exchange.method as Dispatcher.HttpMethod,
      headers,
      body: this.#exchange.body,
    }, this);
  }

  /** Asks the gateway what becomes of the answer, to be passed on in the given way if at all. */
  #takeHead(mode: "events" | "bytes"): "forward" | "goOn" | undefined {
    const { protocol, tell } = this.#tools;
    const { id } = this.#attempt;
    const head = protocol.readHead(
      this.#status,
      this.#headers,
      this.#exchange.head,
    );
    if (!head.matches) {
      // Bytes that belong to another request: nothing more on this connection can be trusted.
      this.#end({ kind: "lost", detail: "Answer to another request" });
      return undefined;
    }
    const answer = { ...head, events: mode === "events" };
    const effects = tell({ kind: "answered", attempt: id, answer });
    const verdict = effects.find((effect) =>
      (effect.kind === "forward" || effect.kind === "goOn") &&
      effect.attempt === id
    );
    if (verdict?.kind !== "forward" && verdict?.kind !== "goOn") {
      this.#discard();
      return undefined;
    }
    this.#mode = mode;
    return verdict.kind;
  }

  /** Passes an answer on from its head on, if it is wanted. */
  #passOn(mode: "events" | "bytes"): void {
    const verdict = this.#takeHead(mode);
    if (verdict === undefined) {
      return;
    }
    const goesOn = verdict === "goOn";
    if (mode === "events") {
      this.#passage = new EventPassage(
        goesOn ? this.#attempt.resumeAfter : undefined,
      );
    }
    if (!goesOn) {
      const headers = this.#tools.protocol.answerHeaders(this.#headers);
      this.#exchange.begin(this.#status, {
        reason: this.#reason,
        // Another endpoint may go on, whose part has another length: told this one, the caller would take
        // an answer that ends inside an event for whole.
        headers: mode === "events" ? withoutLength(headers) : headers,
      });
    }
    this.#writer = this.#exchange.openWriter(this);
  }

  /** Reads the rest for the sake of the connection, unless that takes long. */
  #discard(): void {
    this.#mode = "discarding";
    if (!this.#over) {
      this.#endDiscarding = afterPoll(MOST_DISCARDING_MS, () => this.abort());
    }
  }

  #passBytes(chunk: Buffer): void {
    this.#writer!.write(chunk);
    // The bytes of a failure are no first event, by which an engine's reading is measured.
    if (this.#status === OK) {
      this.#tellProgress();
    }
  }

  #passEvents(chunk: Buffer): void {
    const { events, fault } = this.#passage!.take(chunk);
    if (events !== undefined) {
      this.#writer!.write(events.bytes);
    }
    // Told after the write: an event that counts as passed on and never was would be missing.
    this.#tellProgress(events);
    if (fault !== undefined) {
      this.#end({ kind: "lost", detail: fault });
    }
  }

  #tellProgress(passed?: WholeEvents): void {
    this.#tools.tell({
      kind: "progress",
      attempt: this.#attempt.id,
      lastEventId: passed?.lastId,
      unnumbered: passed?.unnumbered ?? false,
      unfinished: this.#passage?.unfinished ?? 0,
    });
  }

  #tellHeld(held: boolean): void {
    this.#tools.tell({ kind: "held", attempt: this.#attempt.id, held });
  }

  #keep(chunk: Buffer): void {
    this.#kept.push(chunk);
    if (this.#bytes <= MAX_HELD_BYTES) {
      // Untold, an endpoint whose bytes come would be left as silent, and the request run again.
      return this.#tellProgress();
    }
    this.#passOn("bytes");
    this.#kept.forEach((part) => this.#writer?.write(part));
    this.#kept = [];
  }

  /** A plain answer is whole. */
  #takeWhole(): void {
    const verdict = this.#takeHead("bytes");
    if (this.#over) {
      return;
    }
    if (verdict !== "forward") {
      return this.#finish();
    }
    this.#exchange.answer(this.#status, {
      reason: this.#reason,
      headers: withoutLength(
        this.#tools.protocol.answerHeaders(this.#headers),
      ),
      body: Buffer.concat(this.#kept),
    });
    this.#end({ kind: "complete" });
  }

  #endEvents(): void {
    const resumed = this.#attempt.resumeAfter !== undefined;
    const end = this.#passage!.end({ framed: this.#framed, resumed });
    if (end.kind === "torn") {
      return this.#end({ kind: "lost", detail: end.fault });
    }
    this.#writer!.write(end.rest);
    this.#end({ kind: "complete" });
  }

  #end(end: CallEnd): void {
    if (this.#over) {
      return;
    }
    this.#stop();
    if (end.kind === "lost") {
      this.#controller?.abort(new Error("Attempt was lost"));
      this.#connection?.close();
    }
    this.#giveBack();
    this.#tools.done(this.#attempt);
    this.#tools.tell({ kind: "ended", attempt: this.#attempt.id, end });
  }

  /** The answer was read and is not wanted. */
  #finish(): void {
    this.#stop();
    this.#giveBack();
    this.#tools.done(this.#attempt);
  }

  #stop(): void {
    this.#over = true;
    this.#endDiscarding?.();
    this.#writer?.close();
  }

  #giveBack(): void {
    if (this.#connection !== undefined) {
      this.#tools.connections.giveBack(this.#connection, this.#tools.now());
    }
  }
}
