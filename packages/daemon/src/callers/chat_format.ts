/**
 * Encodes chat completions: for callers in the common chunk format with one SSE event per token, for
 * peers as raw frames.
 *
 * @module
 */
import type { Problem } from "./problem.ts";

/** Metadata of a completion. */
export interface Completion {
  readonly request: string;
  readonly model: string;
  readonly createdAt: number;
}

/** Consecutive tokens, the first at index `offset` of the stream. */
export interface Tokens {
  readonly offset: number;
  readonly tokens: readonly string[];
}

/** Encodes a stream of tokens as SSE. */
export interface TokenFormat {
  tokens(tokens: Tokens): string;
  end(offset: number): string;
  failure(problem: Problem): string;
}

/** Encodes for callers. A caller resumes after an event by sending its id as `Last-Event-ID`. */
export class CompletionFormat implements TokenFormat {
  readonly #chunkPrefix: string;
  readonly #request: string;

  constructor({ request, model, createdAt }: Completion) {
    this.#request = request;
    const id = JSON.stringify(`chatcmpl-${request}`);
    const name = JSON.stringify(model);
    this.#chunkPrefix =
      `{"id":${id},"object":"chat.completion.chunk","created":${createdAt},"model":${name},"choices":[{"index":0,`;
  }

  tokens({ offset, tokens }: Tokens): string {
    return tokens.map((token, index) => {
      const number = offset + index;
      const role = number === 0 ? '"role":"assistant",' : "";
      const delta = `"delta":{${role}"content":${
        JSON.stringify(token)
      }},"finish_reason":null}]}`;
      return `id: ${this.#request}:${
        number + 1
      }\ndata: ${this.#chunkPrefix}${delta}\n\n`;
    }).join("");
  }

  end(): string {
    return `data: ${this.#chunkPrefix}"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`;
  }

  failure(problem: Problem): string {
    const error = {
      message: problem.detail,
      type: problem.reason,
      code: problem.status,
    };
    return `event: error\ndata: ${JSON.stringify({ error, ...problem })}\n\n`;
  }
}

/** Encodes for a peer that forwarded the request. */
export class FrameFormat implements TokenFormat {
  readonly #id: string;

  constructor(request: string) {
    this.#id = JSON.stringify(request);
  }

  tokens({ offset, tokens }: Tokens): string {
    return tokens.map((token, index) =>
      `data: {"id":${this.#id},"offset":${offset + index},"token":${
        JSON.stringify(token)
      }}\n\n`
    ).join("");
  }

  end(offset: number): string {
    return `data: {"id":${this.#id},"offset":${offset},"done":true}\n\n`;
  }

  failure(problem: Problem): string {
    return `event: error\ndata: ${JSON.stringify(problem)}\n\n`;
  }
}

/** Encodes the answer to a request without streaming. */
export function formatCompletion(
  { request, model, createdAt }: Completion,
  { text, promptTokens, tokens }: {
    text: string;
    promptTokens: number;
    tokens: number;
  },
): string {
  return JSON.stringify({
    id: `chatcmpl-${request}`,
    object: "chat.completion",
    created: createdAt,
    model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: text },
      finish_reason: "stop",
    }],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: tokens,
      total_tokens: promptTokens + tokens,
    },
  });
}
