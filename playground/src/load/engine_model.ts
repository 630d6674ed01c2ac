/**
 * A model of an inference engine under virtual time: continuous batching, chunked prefill between the tokens
 * of running answers, and a prefix cache with least-recently-used eviction.
 *
 * @module
 */
import {
  type BackendAnswer,
  type BackendRequest,
  FakeBackend,
} from "../routes/fake_backend.ts";
import { PromptPartCache } from "./part_cache.ts";

/** Performance parameters of an engine, taken from the data sheets of the modelled engines. */
export interface EngineParameters {
  /** The maximum number of requests in a batch. */
  readonly slots: number;
  /** The capacity for the context of running requests and cached prefixes, in tokens. */
  readonly cacheTokens: number;
  /** Duration of a step without prefill, and the time that each running request adds to it, in milliseconds. */
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Time that a thousand tokens of context add to a step, in milliseconds. */
  readonly stepMsPerThousandContextTokens: number;
  /** Prompt tokens processed in a millisecond, and the maximum number in one step. */
  readonly prefillTokensPerMs: number;
  readonly maxPrefillTokensPerStep: number;
  /** Attention cost of a million pairs of prefilled and context tokens, in milliseconds. */
  readonly msPerMillionTokenPairs: number;
  /** Tokens in each streamed event. */
  readonly tokensPerEvent: number;
  /** Delay from a request's arrival until it is queued, in milliseconds. */
  readonly startDelayMs: number;
  /** Fixed time of a prefix fetch from another engine, and its time per thousand tokens, in milliseconds. */
  readonly fetchMs: number;
  readonly fetchMsPerThousandTokens: number;
  /** Lasting factor on the duration of each step; 1 is the nominal speed. */
  readonly slowdown: number;
}

/** A request in the queue or in the batch. */
interface Job {
  readonly request: BackendRequest;
  readonly urgency: number;
  readonly order: number;
  /** Prompt tokens that are not yet prefilled. */
  promptTokensLeft: number;
  contextTokens: number;
  generatedTokens: number;
  readonly requestedTokens: number;
}

/** An endpoint that models the timing of an inference engine. */
export class EngineModel extends FakeBackend {
  readonly figures: EngineParameters;
  readonly cache: PromptPartCache;
  readonly counts = {
    prefilledTokens: 0,
    cachedTokens: 0,
    prefillMs: 0,
    steps: 0,
  };
  readonly #engineAt: (address: string) => EngineModel | undefined;
  readonly #jobs = new Map<BackendAnswer, Job>();
  readonly #waiting: Job[] = [];
  readonly #running: Job[] = [];
  #order = 0;
  #stepping = false;

  constructor(
    place: ConstructorParameters<typeof FakeBackend>[0],
    tools: ConstructorParameters<typeof FakeBackend>[1] & {
      figures: EngineParameters;
      engineAt: (address: string) => EngineModel | undefined;
    },
  ) {
    super(place, tools);
    this.figures = tools.figures;
    this.#engineAt = tools.engineAt;
    this.cache = new PromptPartCache();
  }

  override cancel(answer: BackendAnswer): void {
    super.cancel(answer);
    const job = this.#jobs.get(answer);
    if (job !== undefined) {
      this.#removeJob(job);
    }
  }

  /** Loses all requests and the cache, and refuses connections. */
  crash(): void {
    this.mode = "refuse";
    const jobs = [...this.#jobs.keys()];
    this.#jobs.clear();
    this.#waiting.length = 0;
    this.#running.length = 0;
    this.cache.clear();
    jobs.forEach((answer) => answer.lost("reset"));
  }

  protected override get requestCounts(): {
    running: number;
    waiting: number;
  } {
    return { running: this.#running.length, waiting: this.#waiting.length };
  }

  protected override run(request: BackendRequest): void {
    const { head, target, events, answer } = request;
    this.#order++;
    const job: Job = {
      request,
      urgency: target.urgency ?? 5,
      order: this.#order,
      promptTokensLeft: head.prompt?.promptTokens ?? 0,
      contextTokens: 0,
      generatedTokens: request.resumeAfter * this.figures.tokensPerEvent,
      requestedTokens: Math.max(1, events) * this.figures.tokensPerEvent,
    };
    this.#jobs.set(answer, job);
    const fetchDelayMs = this.#fetchPrefix(request);
    this.time.after(fetchDelayMs + this.figures.startDelayMs, () => {
      if (this.#jobs.has(answer)) {
        this.#waiting.push(job);
        this.#startStepping();
      }
    });
  }

  /** Copies the cached prompt prefix from the engine named by the request; returns the time this takes. */
  #fetchPrefix({ head, target }: BackendRequest): number {
    const source = target.prefixFrom === undefined
      ? undefined
      : this.#engineAt(target.prefixFrom);
    const parts = head.prompt?.parts.slice(0, -1) ?? [];
    const missingTokens = (source?.cache.cachedTokens(parts) ?? 0) -
      this.cache.cachedTokens(parts);
    if (source === undefined || missingTokens <= 0) {
      return 0;
    }
    let tokens = source.cache.cachedTokens(parts);
    for (const part of parts) {
      if (tokens > 0) {
        this.cache.touch([part]);
      }
      tokens -= part.tokens;
    }
    const { fetchMs, fetchMsPerThousandTokens } = this.figures;
    return fetchMs + fetchMsPerThousandTokens * missingTokens / 1_000;
  }

  #startStepping(): void {
    if (!this.#stepping && this.#waiting.length + this.#running.length > 0) {
      this.#stepping = true;
      this.#step();
    }
  }

  #step(): void {
    this.#admit();
    if (this.#running.length === 0) {
      this.#stepping = false;
      return;
    }
    const chunk = this.#prefillChunk();
    const contextTokens = this.#running.reduce(
      (sum, job) => sum + job.contextTokens,
      0,
    );
    const { figures } = this;
    const stepDurationMs = figures.slowdown * this.slowdown *
      (figures.stepMs + figures.stepMsPerRequest * this.#running.length +
        figures.stepMsPerThousandContextTokens * contextTokens / 1_000 +
        chunk.tokens / figures.prefillTokensPerMs +
        figures.msPerMillionTokenPairs * chunk.pairs / 1_000_000);
    this.counts.steps++;
    this.counts.prefillMs += chunk.tokens > 0 ? stepDurationMs : 0;
    this.time.after(stepDurationMs, () => {
      this.#generateTokens();
      this.#step();
    });
  }

  #admit(): void {
    const { slots, cacheTokens } = this.figures;
    this.#waiting.sort((left, right) =>
      left.urgency - right.urgency || left.order - right.order
    );
    while (this.#waiting.length > 0 && this.#running.length < slots) {
      const [job] = this.#waiting;
      const { prompt } = job!.request.head;
      const heldTokens = this.#running.reduce(
        (sum, { contextTokens, promptTokensLeft }) =>
          sum + contextTokens + promptTokensLeft,
        0,
      );
      const neededTokens = prompt?.promptTokens ?? 0;
      if (this.#running.length > 0 && heldTokens + neededTokens > cacheTokens) {
        return;
      }
      this.#waiting.shift();
      const sharedParts = prompt?.parts.slice(0, -1) ?? [];
      const cachedTokens = Math.min(
        neededTokens,
        this.cache.cachedTokens(sharedParts),
      );
      this.counts.cachedTokens += cachedTokens;
      job!.promptTokensLeft = neededTokens - cachedTokens;
      job!.contextTokens = cachedTokens;
      this.cache.touch(sharedParts);
      this.cache.evictTo(cacheTokens - heldTokens - neededTokens);
      this.#running.push(job!);
    }
  }

  #prefillChunk(): { tokens: number; pairs: number } {
    let tokensLeft = this.figures.maxPrefillTokensPerStep;
    let pairs = 0;
    for (const job of this.#running) {
      const tokensNow = Math.min(tokensLeft, job.promptTokensLeft);
      job.promptTokensLeft -= tokensNow;
      pairs += tokensNow * (job.contextTokens + tokensNow / 2);
      job.contextTokens += tokensNow;
      tokensLeft -= tokensNow;
    }
    const tokens = this.figures.maxPrefillTokensPerStep - tokensLeft;
    this.counts.prefilledTokens += tokens;
    return { tokens, pairs };
  }

  /** Generates one token for each running request whose prompt is prefilled. */
  #generateTokens(): void {
    if (this.mode === "dark") {
      return;
    }
    for (const job of [...this.#running]) {
      if (job.promptTokensLeft === 0 && this.#jobs.has(job.request.answer)) {
        this.#generateToken(job);
      }
    }
  }

  #generateToken(job: Job): void {
    const { answer } = job.request;
    const { tokensPerEvent } = this.figures;
    job.generatedTokens++;
    job.contextTokens++;
    const first =
      job.generatedTokens === 1 + job.request.resumeAfter * tokensPerEvent;
    if (first) {
      answer.head(200, false);
    }
    if (first || job.generatedTokens % tokensPerEvent === 0) {
      answer.event(Math.floor(job.generatedTokens / tokensPerEvent) + 1);
    }
    if (job.generatedTokens >= job.requestedTokens) {
      this.#removeJob(job);
      answer.complete();
    }
  }

  #removeJob(job: Job): void {
    this.#jobs.delete(job.request.answer);
    remove(this.#waiting, job);
    remove(this.#running, job);
  }
}

function remove(jobs: Job[], job: Job): void {
  const index = jobs.indexOf(job);
  if (index >= 0) {
    jobs.splice(index, 1);
  }
}
