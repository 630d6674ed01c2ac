/**
 * Stand-in for a model engine with slots, prefill and decode rates, a prefix cache, priorities, delayed
 * load reports, resumable streams, model orders with or without fencing, and configurable faults.
 *
 * Control: `PUT /control/faults` sets faults, `PUT /control/drain` starts draining, `PUT /control/cold`
 * clears the prefix cache, `GET /control/state` returns the counters.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { prefixBlocks } from "@sassafrasstep/daemon";
import { H3 } from "h3";
import {
  DEFAULT_ENGINE,
  type EngineFaults,
  type EngineOptions,
} from "./engine_options.ts";
import {
  DEFAULT_TOKENS,
  readPrompt,
  swappedOffset,
  tokenAt,
} from "./engine_text.ts";
import { type Generation, GenerationQueue } from "./generation_queue.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { readJson, type StandIn, StandInServer } from "./stand_in.ts";

const TOKENS_PER_BLOCK = 64;
const CHARACTERS_PER_TOKEN = 4;
const HOLD_AVERAGE_WEIGHT = 0.1;

/** HTTP server that generates deterministic token streams. */
export class Engine implements StandIn {
  readonly #options: EngineOptions;
  readonly #server: StandInServer;
  readonly #queue: GenerationQueue;
  readonly #cache: PrefixCache;
  #faults: EngineFaults = {};
  #model: string;
  #fence = 0;
  #draining = false;
  #runs = new Map<string, number>();
  #requestsAfterDrain = 0;
  #busyMs = 0;
  #prefilledTokens = 0;
  #holdMs: number;
  #loadHistory: { at: number; running: number; queued: number }[] = [];

  constructor(options: Partial<EngineOptions> = {}) {
    this.#options = { ...DEFAULT_ENGINE, ...options };
    this.#model = this.#options.model;
    this.#cache = new PrefixCache(this.#options.cacheBlocks);
    this.#queue = new GenerationQueue(this.#options.slots);
    this.#holdMs = DEFAULT_TOKENS * this.#options.decodeMs;
    this.#server = new StandInServer(
      this.#createApp(),
      (message, reply) => this.#handleGenerate(message, reply),
    );
  }

  start(): Promise<string> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  #createApp(): H3 {
    const app = new H3();
    app.get("/v1/load", () => this.#reportLoad());
    app.post(
      "/v1/model",
      async ({ req }) => await this.#loadModel(await readJson(req)),
    );
    app.put("/control/faults", async ({ req }) => {
      this.#faults = await readJson<EngineFaults>(req);
      return {};
    });
    app.put("/control/drain", () => {
      this.#draining = true;
      return {};
    });
    app.put("/control/cold", () => {
      this.#cache.clear();
      return {};
    });
    app.get("/control/state", () => this.#state());
    return app;
  }

  #state(): object {
    return {
      model: this.#model,
      fence: this.#fence,
      runs: Object.fromEntries(this.#runs),
      after_drain: this.#requestsAfterDrain,
      engine_ms: Math.round(this.#busyMs),
      prefilled_tokens: this.#prefilledTokens,
      running: this.#queue.running,
    };
  }

  #reportLoad(): object {
    const now = performance.now();
    this.#loadHistory.push({
      at: now,
      running: this.#queue.running,
      queued: this.#queue.waiting,
    });
    const reportUntil = now - this.#options.loadLagMs;
    while (
      this.#loadHistory.length > 1 && this.#loadHistory[1]!.at <= reportUntil
    ) {
      this.#loadHistory.shift();
    }
    const reported = this.#loadHistory[0]!;
    const { evicted, gap } = this.#cache.takeEvictions();
    return {
      age_ms: Math.round(now - reported.at),
      running: reported.running,
      queued: reported.queued,
      slots: this.#options.slots,
      prefill_rate: this.#options.prefillRate,
      hold_ms: Math.round(this.#holdMs),
      draining: this.#draining,
      model: this.#model,
      fence: this.#fence,
      evicted,
      cache_gap: gap,
    };
  }

  async #loadModel(
    { model, fence, expected }: {
      model: string;
      fence: number;
      expected: string;
    },
  ): Promise<Response> {
    const hasOldFence = this.#options.fenced && fence < this.#fence;
    if (hasOldFence || expected !== this.#model) {
      return new Response("refused\n", { status: 409 });
    }
    if (this.#options.weightStoreUrl !== "") {
      const loaded = await fetch(
        `${this.#options.weightStoreUrl}/v1/weights/${
          encodeURIComponent(model)
        }`,
      );
      if (!loaded.ok) {
        return new Response("no weights\n", { status: 503 });
      }
    }
    this.#model = model;
    this.#fence = Math.max(this.#fence, fence);
    this.#cache.clear();
    return new Response("{}");
  }

  #handleGenerate(message: IncomingMessage, reply: ServerResponse): boolean {
    if (message.url !== "/v1/generate") {
      return false;
    }
    void this.#generate(message, reply).catch(() => reply.destroy());
    return true;
  }

  async #generate(
    message: IncomingMessage,
    reply: ServerResponse,
  ): Promise<void> {
    const id = String(message.headers["x-request-id"] ?? "");
    const body = await readBody(message);
    if (this.#draining) {
      this.#requestsAfterDrain++;
    }
    if (this.#draining || this.#faults.refuse === true) {
      reply.writeHead(503, { "retry-after": "1" }).end("refused\n");
      return;
    }
    this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
    if (this.#faults.hang === true) {
      return;
    }
    const { prompt, tokens } = readPrompt(body);
    const startAt = Number(message.headers["x-resume-offset"] ?? 0);
    const generation: Generation = {
      priority: Number(message.headers["x-priority"] ?? 0),
      run: () => this.#run(reply, { id, prompt, tokens, startAt }),
      isGone: () => reply.destroyed,
    };
    this.#queue.add(generation);
  }

  async #run(
    reply: ServerResponse,
    { id, prompt, tokens, startAt }: {
      id: string;
      prompt: string;
      tokens: number;
      startAt: number;
    },
  ): Promise<void> {
    const startedAt = performance.now();
    const blocks = prefixBlocks(prompt);
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) +
      startAt;
    const uncached = Math.max(
      0,
      promptTokens - this.#cache.countCachedBlocks(blocks) * TOKENS_PER_BLOCK,
    );
    this.#prefilledTokens += uncached;
    await sleep((uncached / this.#options.prefillRate) * 1_000);
    this.#cache.store(blocks);
    reply.writeHead(200, { "content-type": "text/event-stream" });
    await this.#decode(reply, { id, prompt, tokens, startAt });
    const held = performance.now() - startedAt;
    this.#busyMs += held;
    this.#holdMs += (held - this.#holdMs) * HOLD_AVERAGE_WEIGHT;
  }

  async #decode(
    reply: ServerResponse,
    { id, prompt, tokens, startAt }: {
      id: string;
      prompt: string;
      tokens: number;
      startAt: number;
    },
  ): Promise<void> {
    const faults = this.#faults;
    const startedAt = performance.now();
    for (let offset = startAt; offset < tokens; offset++) {
      // Pacing follows the clock, so that rounding of timers does not add up. One sleep may cover several tokens.
      const due = startedAt + (offset - startAt + 1) * this.#options.decodeMs;
      await sleep(due - performance.now());
      if (reply.destroyed) {
        return;
      }
      if (offset - startAt === faults.resetAfter) {
        reply.destroy();
        return;
      }
      if (offset - startAt === faults.truncateAfter) {
        reply.end();
        return;
      }
      const order = faults.swap === true
        ? swappedOffset(offset, { startAt, tokens })
        : offset;
      await this.#sendToken(reply, {
        id,
        offset: order,
        token: tokenAt(prompt, order),
      });
    }
    reply.end(
      `data: ${JSON.stringify({ id, offset: tokens, done: true })}\n\n`,
    );
  }

  async #sendToken(
    reply: ServerResponse,
    frame: { id: string; offset: number; token: string },
  ): Promise<void> {
    const line = `data: ${JSON.stringify(frame)}\n\n`;
    const foreignFrame = this.#faults.foreign === true
      ? `data: ${
        JSON.stringify({ ...frame, id: "another", token: "SECRET" })
      }\n\n`
      : "";
    const bufferHasSpace = reply.write(
      foreignFrame + line + (this.#faults.duplicate === true ? line : ""),
    );
    if (!bufferHasSpace) {
      await new Promise<void>((resolve) => {
        reply.once("drain", resolve);
        reply.once("close", resolve);
      });
    }
  }
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of message as AsyncIterable<Uint8Array>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

async function sleep(ms: number): Promise<void> {
  if (ms > 0) {
    await new Promise((resolve) => setTimeout(resolve, ms));
  }
}
