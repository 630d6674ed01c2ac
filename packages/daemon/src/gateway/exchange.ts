/**
 * A request from a caller and its answer.
 *
 * @module
 */
import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { CallHead, CallRefusal, RequestId } from "@sassafrasstep/core";
import { type AnswerSource, AnswerWriter } from "./answer_writer.ts";
import { abortReply } from "./abort_reply.ts";
import type { CallerProtocol, RawHeaders } from "./protocol.ts";
import { refusalAnswer } from "./refusal_answer.ts";
import { RELAY_ATTEMPT_HEADER } from "./relay_header.ts";

const NO_CONTENT_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Constructor arguments of an exchange. */
export interface ExchangeOptions {
  readonly head: CallHead;
  readonly body: Buffer;
  readonly message: IncomingMessage;
  readonly reply: ServerResponse;
  readonly protocol: CallerProtocol;
  /** Whether callers should close the connection after the answer. */
  readonly closing: () => boolean;
}

/** A completely received request, with the answer to it. */
export class Exchange {
  readonly head: CallHead;
  readonly body: Buffer;
  readonly #options: ExchangeOptions;
  /** Status of the answer; 0 until it has begun. */
  status = 0;
  readonly #arrivedAt = performance.now();
  /** Writer of the attempt that may currently write. */
  #writer: AnswerWriter | undefined;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.head = options.head;
    this.body = options.body;
    options.reply.on("drain", () => this.#writer?.onDrain());
  }

  get id(): RequestId {
    return this.head.id;
  }

  /** Milliseconds since the request arrived. */
  age(): number {
    return performance.now() - this.#arrivedAt;
  }

  get method(): string {
    return this.#options.message.method ?? "GET";
  }

  get rawHeaders(): RawHeaders {
    return this.#options.message.rawHeaders;
  }

  /** Calls `listener` once the answer has been sent or the connection has closed. */
  onClosed(listener: () => void): void {
    this.#options.reply.once("close", listener);
  }

  /** Begins the answer with its status line and headers. */
  begin(status: number, headers: RawHeaders): void {
    const { reply, closing } = this.#options;
    this.status = status;
    reply.sendDate = false;
    const all = [...headers, ...this.#attemptHeaders()];
    if (closing()) {
      all.push("connection", "close");
    }
    // The standard phrase: an endpoint's may be longer than the caller accepts, or hold what no head can.
    reply.writeHead(status, STATUS_CODES[status] ?? "", all);
  }

  /** Names the attempt of the entry that relayed the request. */
  #attemptHeaders(): RawHeaders {
    const attempt = this.#options.message.headers[RELAY_ATTEMPT_HEADER];
    return this.head.relay !== undefined && typeof attempt === "string"
      ? [RELAY_ATTEMPT_HEADER, attempt]
      : [];
  }

  /** Opens a writer for an attempt and closes that of the previous attempt. */
  openWriter(source: AnswerSource): AnswerWriter {
    this.#writer?.close();
    this.#writer = new AnswerWriter(this.#options.reply, source);
    return this.#writer;
  }

  /** Sends the headers now: the first event of a stream may take a while. */
  flush(): void {
    this.#options.reply.flushHeaders();
  }

  end(): void {
    if (!this.#options.reply.writableEnded) {
      this.#options.reply.end();
    }
  }

  /** Sends a complete answer. */
  respond(
    status: number,
    { headers, body }: { headers: RawHeaders; body: Buffer },
  ): void {
    const framed = NO_CONTENT_STATUSES.has(status)
      ? headers
      : [...headers, "content-length", String(body.length)];
    this.begin(status, framed);
    this.#options.reply.end(body);
  }

  /**
   * Closes the connection after sending what was written, so that the caller sees that the answer is
   * incomplete.
   */
  abort(): void {
    this.#writer?.close();
    abortReply(this.#options.reply);
  }

  /** Refuses the request with an answer from the entry itself. */
  refuse(refusal: CallRefusal): void {
    const { reply, protocol } = this.#options;
    if (reply.destroyed || reply.headersSent) {
      return this.abort();
    }
    const answer = refusalAnswer(refusal, protocol);
    this.respond(refusal.status, answer);
  }
}
