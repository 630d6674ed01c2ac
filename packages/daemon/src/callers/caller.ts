/**
 * The caller's side of one request: its body, and the one answer that it gets.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type BodyFacts,
  type FinalAnswer,
  RAN,
  type RequestHead,
  sha256,
  type StoredAnswer,
  TokenStream,
} from "@sassafrasstep/core";
import { parseChatBody } from "./chat_body.ts";
import {
  type Completion,
  CompletionFormat,
  FrameFormat,
  type TokenFormat,
  wholeCompletion,
} from "./chat_format.ts";
import { REPLAYED_HEADER } from "./headers.ts";
import {
  problemResponse,
  setRetryAfter,
  toProblem,
  verdictHeaders,
} from "./problem.ts";
import { ResponseStream } from "./response_stream.ts";

/** Largest body of a request. */
export const MAX_BODY_BYTES = 1_048_576;
/** Largest whole completion. */
const MAX_WHOLE_CHARACTERS = 4_194_304;
const MILLISECONDS_PER_SECOND = 1_000;

/** What a caller asked for, for the attempts that are made for it. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly kind: "chat" | "plain";
  readonly method: string;
  /** Path and query at an entry. */
  readonly path: string;
  /** Path and query at an endpoint. */
  readonly endpointPath: string;
  readonly authorization: string;
  readonly contentType: string;
}

/** What a caller tells of itself. */
export interface CallerEvents {
  bodyRead(caller: Caller, facts: BodyFacts): void;
  bodyFailed(caller: Caller, detail: string): void;
  gone(caller: Caller): void;
  /** The whole answer has left. */
  closed(caller: Caller): void;
}

/** A completion is too large to be held until it is whole; its engine did nothing wrong. */
export class AnswerTooLargeError extends Error {
  override readonly name = "AnswerTooLargeError";

  constructor() {
    super("The completion is too large to be answered whole");
  }
}

/** One request of one caller. */
export class Caller {
  readonly request: CallerRequest;
  readonly tokens: TokenStream;
  /** Resolves once, with the response. */
  readonly response: Promise<Response>;
  body: Uint8Array = new Uint8Array();
  readonly #message: IncomingMessage;
  readonly #events: CallerEvents;
  readonly #askForBody: () => void;
  readonly #createdAt: number;
  #respond!: (response: Response) => void;
  #stream: ResponseStream | undefined;
  #format: TokenFormat | undefined;
  #streamed = false;
  #model = "";
  #promptTokens = 0;
  #whole = "";
  #answered = false;

  constructor(
    request: CallerRequest,
    { message, reply, events, askForBody, wallClockMs }: {
      message: IncomingMessage;
      reply: ServerResponse;
      events: CallerEvents;
      /** Called right before the body is read. */
      askForBody: () => void;
      wallClockMs: number;
    },
  ) {
    this.request = request;
    this.#message = message;
    this.#events = events;
    this.#askForBody = askForBody;
    this.#createdAt = Math.floor(wallClockMs / MILLISECONDS_PER_SECOND);
    this.tokens = new TokenStream(request.head.resumeOffset);
    this.response = new Promise((resolve) => {
      this.#respond = resolve;
    });
    reply.once("close", () => this.#onClose(reply.writableFinished));
  }

  get id(): RequestHead["id"] {
    return this.request.head.id;
  }

  /** Reads the body, bounded, and tells its facts. */
  async readBody(): Promise<void> {
    try {
      this.#askForBody();
      const bytes = await readLimited(this.#message);
      if (bytes === undefined) {
        this.#events.bodyFailed(
          this,
          `The body is larger than ${MAX_BODY_BYTES} bytes`,
        );
        return;
      }
      this.body = bytes;
      this.#tellBody(bytes);
    } catch {
      this.#events.bodyFailed(this, "The body did not come whole");
    }
  }

  /** Hands tokens on, in order. Waits while the caller is slow. */
  async writeTokens(offset: number, tokens: readonly string[]): Promise<void> {
    if (this.#answered || tokens.length === 0) {
      return;
    }
    if (!this.#streamed) {
      this.#whole += tokens.join("");
      if (this.#whole.length > MAX_WHOLE_CHARACTERS) {
        throw new AnswerTooLargeError();
      }
      return;
    }
    await this.#openStream().write(this.#format!.tokens({ offset, tokens }));
  }

  /** Ends an answer whose every token was handed on. */
  endTokens(): void {
    if (this.#answered) {
      return;
    }
    this.#answered = true;
    if (!this.#streamed) {
      this.#respondWhole();
      return;
    }
    const stream = this.#openStream();
    void stream.write(this.#format!.end(this.tokens.offset));
    stream.end();
  }

  /** The final answer. A second one is impossible: the first wins. */
  finish(answer: FinalAnswer): void {
    if (this.#answered) {
      return;
    }
    this.#answered = true;
    if (this.#stream !== undefined) {
      this.#failStream(answer);
    } else if (answer.kind === "refused") {
      this.#respond(problemResponse(answer.refusal, this.id));
    } else {
      this.#respond(this.#answerResponse(answer));
    }
  }

  #failStream(answer: FinalAnswer): void {
    const stream = this.#stream!;
    if (answer.kind === "refused") {
      // No end mark follows, so that the broken stream cannot be taken for a whole one.
      void stream.write(
        this.#format!.failure(toProblem(answer.refusal, this.id)),
      );
    }
    stream.end();
  }

  #answerResponse(
    { answer, verdict, replayed, retryAfter }: Extract<
      FinalAnswer,
      { kind: "answered" }
    >,
  ): Response {
    const headers = verdictHeaders(verdict, this.id);
    headers.set("content-type", answer.contentType);
    if (replayed) {
      headers.set(REPLAYED_HEADER, "yes");
    }
    setRetryAfter(headers, retryAfter);
    return toResponse(answer, headers);
  }

  #tellBody(bytes: Uint8Array): void {
    if (this.request.kind === "plain") {
      const digest = sha256(
        `${this.request.method} ${this.request.endpointPath}\n${sha256(bytes)}`,
      );
      this.#events.bodyRead(this, { digest, promptTokens: 0, blocks: [] });
      return;
    }
    const body = parseChatBody(bytes);
    if ("fault" in body) {
      this.#events.bodyFailed(this, body.fault);
      return;
    }
    this.#streamed = body.stream || this.request.head.forwarded;
    this.#model = body.model;
    this.#promptTokens = body.facts.promptTokens;
    this.#events.bodyRead(this, body.facts);
  }

  #openStream(): ResponseStream {
    if (this.#stream !== undefined) {
      return this.#stream;
    }
    this.#stream = new ResponseStream();
    this.#format = this.request.head.forwarded
      ? new FrameFormat(this.id)
      : new CompletionFormat(this.#completion());
    const headers = verdictHeaders(RAN, this.id);
    headers.set("content-type", "text/event-stream");
    headers.set("cache-control", "no-store");
    this.#respond(new Response(this.#stream.body, { headers }));
    return this.#stream;
  }

  #respondWhole(): void {
    const headers = verdictHeaders(RAN, this.id);
    headers.set("content-type", "application/json");
    const whole = {
      text: this.#whole,
      promptTokens: this.#promptTokens,
      tokens: this.tokens.offset,
    };
    this.#respond(
      new Response(wholeCompletion(this.#completion(), whole), { headers }),
    );
  }

  #completion(): Completion {
    return { request: this.id, model: this.#model, createdAt: this.#createdAt };
  }

  #onClose(finished: boolean): void {
    if (!finished) {
      this.#answered = true;
      this.#events.gone(this);
    }
    this.#events.closed(this);
  }
}

function toResponse(
  { status, body }: StoredAnswer,
  headers: Headers,
): Response {
  const bytes = Buffer.from(body, "base64");
  const hasBody = status !== 204 && status !== 304;
  return new Response(hasBody ? bytes : null, { status, headers });
}

async function readLimited(
  message: IncomingMessage,
): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Uint8Array>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      return undefined;
    }
    chunks.push(chunk);
  }
  if (!message.complete) {
    throw new Error("The body did not come whole");
  }
  return Buffer.concat(chunks);
}
