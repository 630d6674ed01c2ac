/**
 * The caller's side of one request: reads its body and sends its single answer.
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
  formatCompletion,
  FrameFormat,
  type TokenFormat,
} from "./chat_format.ts";
import { ChunkList } from "../sockets/index.ts";
import { REPLAYED_HEADER } from "./headers.ts";
import {
  problemResponse,
  setRetryAfter,
  toProblem,
  verdictHeaders,
} from "./problem.ts";
import { ResponseStream } from "./response_stream.ts";

/** Maximum size of a request body. */
export const MAX_BODY_BYTES = 1_048_576;
/** Maximum length of a completion that is buffered for a caller without streaming. */
const MAX_BUFFERED_CHARACTERS = 4_194_304;
const MILLISECONDS_PER_SECOND = 1_000;
/** Statuses with which a response must have no body. */
const NULL_BODY_STATUSES: ReadonlySet<number> = new Set([204, 205, 304]);

/** A caller's request, as its attempts need it. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly kind: "chat" | "plain";
  readonly method: string;
  /** Path and query at this entry or a peer. */
  readonly path: string;
  /** Path and query at an endpoint. */
  readonly endpointPath: string;
  readonly authorization: string;
  readonly contentType: string;
}

/** Events of a caller. */
export interface CallerEvents {
  bodyRead(caller: Caller, facts: BodyFacts): void;
  bodyFailed(caller: Caller, detail: string): void;
  /** The connection closed before the answer was sent completely. */
  disconnected(caller: Caller): void;
  /** The connection closed or the answer was sent completely. */
  closed(caller: Caller): void;
}

/** Signals that a completion is too large to be buffered, which is no fault of its engine. */
export class AnswerTooLargeError extends Error {
  override readonly name = "AnswerTooLargeError";

  constructor() {
    super("The completion is too large to be answered whole");
  }
}

/** One request and its answer. Ignores further answers after the first one. */
export class Caller {
  readonly request: CallerRequest;
  readonly tokens: TokenStream;
  /** Resolves with the response; a stream's body is still being written then. */
  readonly response: Promise<Response>;
  body: Uint8Array = new Uint8Array();
  readonly #message: IncomingMessage;
  readonly #events: CallerEvents;
  readonly #requestBody: () => void;
  readonly #createdAt: number;
  #respond!: (response: Response) => void;
  #stream: ResponseStream | undefined;
  #format: TokenFormat | undefined;
  #streaming = false;
  #model = "";
  #promptTokens = 0;
  #bufferedText = "";
  #answered = false;

  constructor(
    request: CallerRequest,
    { message, reply, events, requestBody, wallClockMs }: {
      message: IncomingMessage;
      reply: ServerResponse;
      events: CallerEvents;
      /** Called directly before the body is read. */
      requestBody: () => void;
      wallClockMs: number;
    },
  ) {
    this.request = request;
    this.#message = message;
    this.#events = events;
    this.#requestBody = requestBody;
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

  /** Reads the body up to `MAX_BODY_BYTES` and reports what the core needs of it, or why that failed. */
  async readBody(): Promise<void> {
    try {
      this.#requestBody();
      const bytes = await readLimited(this.#message);
      if (bytes === undefined) {
        this.#events.bodyFailed(
          this,
          `The body is larger than ${MAX_BODY_BYTES} bytes`,
        );
        return;
      }
      this.body = bytes;
      this.#reportBody(bytes);
    } catch {
      this.#events.bodyFailed(this, "The body did not come whole");
    }
  }

  /** Writes or buffers tokens, which must come in order. Waits while the caller reads slowly. */
  async writeTokens(offset: number, tokens: readonly string[]): Promise<void> {
    if (this.#answered || tokens.length === 0) {
      return;
    }
    if (!this.#streaming) {
      this.#bufferedText += tokens.join("");
      if (this.#bufferedText.length > MAX_BUFFERED_CHARACTERS) {
        throw new AnswerTooLargeError();
      }
      return;
    }
    await this.#openStream().write(this.#format!.tokens({ offset, tokens }));
  }

  /** Ends the answer after its last token. */
  endTokens(): void {
    if (this.#answered) {
      return;
    }
    this.#answered = true;
    if (!this.#streaming) {
      this.#respondCompletion();
      return;
    }
    const stream = this.#openStream();
    void stream.write(this.#format!.end(this.tokens.offset));
    stream.end();
  }

  /** Sends the final answer, unless one was sent before. */
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
      // No end mark follows, so the caller cannot mistake the broken stream for a complete one.
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

  #reportBody(bytes: Uint8Array): void {
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
    this.#streaming = body.stream || this.request.head.forwarded;
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

  #respondCompletion(): void {
    const headers = verdictHeaders(RAN, this.id);
    headers.set("content-type", "application/json");
    const completion = {
      text: this.#bufferedText,
      promptTokens: this.#promptTokens,
      tokens: this.tokens.offset,
    };
    this.#respond(
      new Response(formatCompletion(this.#completion(), completion), {
        headers,
      }),
    );
  }

  #completion(): Completion {
    return { request: this.id, model: this.#model, createdAt: this.#createdAt };
  }

  #onClose(finished: boolean): void {
    if (!finished) {
      this.#answered = true;
      this.#events.disconnected(this);
    }
    this.#events.closed(this);
  }
}

function toResponse(
  { status, body }: StoredAnswer,
  headers: Headers,
): Response {
  const bytes = Buffer.from(body, "base64");
  const hasBody = !NULL_BODY_STATUSES.has(status);
  return new Response(hasBody ? bytes : null, { status, headers });
}

async function readLimited(
  message: IncomingMessage,
): Promise<Uint8Array | undefined> {
  const chunks = new ChunkList();
  for await (const chunk of message as AsyncIterable<Uint8Array>) {
    chunks.add(chunk);
    if (chunks.length > MAX_BODY_BYTES) {
      return undefined;
    }
  }
  if (!message.complete) {
    throw new Error("The request ended before its body was complete");
  }
  return chunks.take();
}
