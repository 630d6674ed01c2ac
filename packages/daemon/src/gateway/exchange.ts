/**
 * One request of a caller and the answer to it.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CallHead,
  type CallRefusal,
  formatVerdictHeader,
  type RequestId,
} from "@sassafrasstep/core";
import { OFFERED_HEADER, VERDICT_HEADER } from "../callers/headers.ts";
import { type AnswerSource, AnswerWriter } from "./answer_writer.ts";
import { breakReply } from "./broken_reply.ts";
import type { CallerProtocol, RawHeaders } from "./protocol.ts";

const NO_CONTENT_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** What an exchange is made with. */
export interface ExchangeOptions {
  readonly head: CallHead;
  readonly body: Buffer;
  readonly message: IncomingMessage;
  readonly reply: ServerResponse;
  readonly protocol: CallerProtocol;
  /** Whether callers shall not use the connection again. */
  readonly closing: () => boolean;
}

/** A request whose body has been read. */
export class Exchange {
  readonly head: CallHead;
  readonly body: Buffer;
  readonly #options: ExchangeOptions;
  /** Status of the answer that has begun, 0 before. */
  status = 0;
  readonly #arrivedAt = performance.now();
  /** Of the attempt that may write at present. */
  #writer: AnswerWriter | undefined;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.head = options.head;
    this.body = options.body;
    options.reply.on("drain", () => this.#writer?.drained());
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

  /** Calls back once the answer has left, or its connection has ended. */
  onClosed(listener: () => void): void {
    this.#options.reply.once("close", listener);
  }

  /** Begins the answer. */
  begin(
    status: number,
    { reason, headers }: { reason: string; headers: RawHeaders },
  ): void {
    const { reply, closing } = this.#options;
    this.status = status;
    reply.sendDate = false;
    const all = closing() ? [...headers, "connection", "close"] : headers;
    reply.writeHead(status, reason, all);
  }

  /** Lets an attempt write from now on, and the one before it no more. */
  openWriter(source: AnswerSource): AnswerWriter {
    this.#writer?.close();
    this.#writer = new AnswerWriter(this.#options.reply, source);
    return this.#writer;
  }

  /** Sends the head now: a stream's first event may be a while. */
  flush(): void {
    this.#options.reply.flushHeaders();
  }

  end(): void {
    if (!this.#options.reply.writableEnded) {
      this.#options.reply.end();
    }
  }

  /** A whole answer at once. */
  answer(
    status: number,
    { reason, headers, body }: {
      reason: string;
      headers: RawHeaders;
      body: Buffer;
    },
  ): void {
    const framed = NO_CONTENT_STATUSES.has(status)
      ? headers
      : [...headers, "content-length", String(body.length)];
    this.begin(status, { reason, headers: framed });
    this.#options.reply.end(body);
  }

  /** Ends the connection after what was written: the caller must see that the answer is not whole. */
  breakOff(): void {
    this.#writer?.close();
    breakReply(this.#options.reply);
  }

  /** An answer of the entry's own. */
  refuse(refusal: CallRefusal): void {
    const { reply, protocol } = this.#options;
    if (reply.destroyed || reply.headersSent) {
      return this.breakOff();
    }
    const body = Buffer.from(JSON.stringify({
      type: "about:blank",
      status: refusal.status,
      title: refusal.reason,
    }));
    this.answer(refusal.status, {
      reason: "",
      body,
      headers: [
        ...protocol.refusalHeaders(refusal),
        VERDICT_HEADER,
        formatVerdictHeader(refusal.verdict),
        OFFERED_HEADER,
        String(refusal.offered),
        "content-type",
        "application/problem+json",
      ],
    });
  }
}
