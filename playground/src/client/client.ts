/**
 * The client of a kiosk or an app: looks up the entries to use, creates idempotency keys and sends requests.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import {
  DEADLINE_HEADER,
  REQUEST_HEADER,
  SERVICE_HEADER,
  VERDICT_HEADER,
} from "@sassafrasstep/daemon";
import { createParser } from "eventsource-parser";
import { Agent, fetch } from "undici";

/** An entry in the list that the gateway returns to its clients. */
export interface ListedEntry {
  readonly id: string;
  readonly url: string;
  readonly region: string;
  readonly zone: string;
  readonly owner_token: string;
}

/** An answer with its verdict and request id from the gateway's headers. */
export interface Answer {
  readonly status: number;
  readonly verdict: string;
  readonly requestId: string;
  readonly headers: Headers;
  readonly text: string;
}

/** A streamed answer, possibly incomplete. */
export interface StreamedAnswer extends Answer {
  /** Whether the stream reached its end mark. */
  readonly whole: boolean;
  readonly firstTokenMs: number;
  readonly wholeMs: number;
  readonly tokens: number;
  /** The id of the last event received, from which the stream can be resumed. */
  readonly lastEventId: string;
}

/** A chat request and its options. */
export interface ChatRequest {
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly requestClass?: string;
  readonly deadlineMs?: number;
  readonly service?: string;
  readonly lastEventId?: string;
  readonly signal?: AbortSignal;
}

const KEY_RANDOM_BYTES = 12;

/** A client that acts for one customer. */
export class Client {
  readonly #token: string;
  readonly #agent = new Agent({
    connections: 512,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(token: string) {
    this.#token = token;
  }

  /** Fetches the entries for a service, in the order in which to use them, from any entry. */
  async entries(
    anyEntryUrl: string,
    service: string,
  ): Promise<readonly ListedEntry[]> {
    const answer = await fetch(`${anyEntryUrl}/v1/entries?service=${service}`, {
      headers: { authorization: `Bearer ${this.#token}` },
      dispatcher: this.#agent,
    });
    return (await answer.json() as { entries: ListedEntry[] }).entries;
  }

  /** Creates an idempotency key that is owned by the entry with the given owner token. */
  newKey(ownerToken: string): string {
    return `${ownerToken}.${
      randomBytes(KEY_RANDOM_BYTES).toString("base64url")
    }`;
  }

  /** Calls a plain service. */
  async call(
    entryUrl: string,
    { service, path, key, body, deadlineMs }: {
      service: string;
      path: string;
      key?: string;
      body: string;
      deadlineMs?: number;
    },
  ): Promise<Answer> {
    const response = await fetch(`${entryUrl}/v1/services/${service}${path}`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${this.#token}`,
        "content-type": "application/json",
        ...(key === undefined ? {} : { "idempotency-key": key }),
        ...(deadlineMs === undefined
          ? {}
          : { [DEADLINE_HEADER]: String(deadlineMs) }),
      },
      body,
      dispatcher: this.#agent,
    });
    return toAnswer(response as unknown as Response, await response.text());
  }

  /** Sends a streamed chat request and reads its answer until the stream ends or breaks. */
  async streamChat(
    entryUrl: string,
    request: ChatRequest,
  ): Promise<StreamedAnswer> {
    const startedAt = performance.now();
    const response = await this.#send(entryUrl, request);
    const collector = new StreamCollector(startedAt);
    if (
      !String(response.headers.get("content-type")).includes("event-stream")
    ) {
      return {
        ...toAnswer(response, await response.text()),
        ...collector.result(),
      };
    }
    try {
      for await (
        const chunk of response.body as unknown as AsyncIterable<Uint8Array>
      ) {
        collector.feed(chunk);
      }
    } catch {
      collector.markBroken();
    }
    return { ...toAnswer(response, collector.text), ...collector.result() };
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(entryUrl: string, request: ChatRequest): Promise<Response> {
    const {
      prompt,
      maxTokens = 32,
      requestClass,
      deadlineMs,
      service,
      lastEventId,
      signal,
    } = request;
    const response = await fetch(`${entryUrl}/v1/chat/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${this.#token}`,
        "content-type": "application/json",
        ...(service === undefined ? {} : { [SERVICE_HEADER]: service }),
        ...(requestClass === undefined
          ? {}
          : { "sassafrasstep-class": requestClass }),
        ...(deadlineMs === undefined
          ? {}
          : { [DEADLINE_HEADER]: String(deadlineMs) }),
        ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
      },
      body: JSON.stringify({
        stream: true,
        max_tokens: maxTokens,
        messages: [{ role: "user", content: prompt }],
      }),
      dispatcher: this.#agent,
      ...(signal === undefined ? {} : { signal }),
    });
    return response as unknown as Response;
  }
}

/** Parses the events of one stream and collects its text and timings. */
class StreamCollector {
  text = "";
  readonly #startedAt: number;
  readonly #decoder = new TextDecoder();
  #firstTokenMs = 0;
  #wholeMs = 0;
  #tokens = 0;
  #whole = false;
  #lastEventId = "";
  readonly #parser = createParser({
    onEvent: ({ id, event, data }) => this.#handleEvent({ id, event, data }),
  });

  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  feed(chunk: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
  }

  markBroken(): void {
    this.#whole = false;
  }

  result(): Pick<
    StreamedAnswer,
    "whole" | "firstTokenMs" | "wholeMs" | "tokens" | "lastEventId"
  > {
    return {
      whole: this.#whole,
      firstTokenMs: this.#firstTokenMs,
      wholeMs: this.#wholeMs,
      tokens: this.#tokens,
      lastEventId: this.#lastEventId,
    };
  }

  #handleEvent(
    { id, event, data }: {
      id?: string | undefined;
      event?: string | undefined;
      data: string;
    },
  ): void {
    if (event === "error") {
      return;
    }
    if (data === "[DONE]") {
      this.#whole = true;
      this.#wholeMs = performance.now() - this.#startedAt;
      return;
    }
    const chunk = JSON.parse(data) as {
      choices: { delta: { content?: string } }[];
    };
    const content = chunk.choices[0]?.delta.content;
    if (content !== undefined) {
      this.#firstTokenMs ||= performance.now() - this.#startedAt;
      this.text += content;
      this.#tokens++;
      this.#lastEventId = id ?? this.#lastEventId;
    }
  }
}

function toAnswer(response: Response, text: string): Answer {
  return {
    status: response.status,
    verdict: response.headers.get(VERDICT_HEADER) ?? "",
    requestId: response.headers.get(REQUEST_HEADER) ?? "",
    headers: response.headers,
    text,
  };
}
