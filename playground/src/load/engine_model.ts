/**
 * A model engine under virtual time: continuous batching by steps, prompts read in chunks between the
 * tokens of running answers, a prefix cache that yields the parts used least recently.
 *
 * @module
 */
import {
  type BackendAnswer,
  type BackendRequest,
  FakeBackend,
} from "../routes/fake_backend.ts";
import { PartCache } from "./part_cache.ts";

/** Figures of an engine, from the sheets of those that it stands for. */
export interface EngineFigures {
  readonly slots: number;
  readonly cacheTokens: number;
  /** A step without reading, and what each running request adds to it, in milliseconds. */
  readonly stepMs: number;
  readonly slotMs: number;
  /** What a thousand tokens of context add to a step, in milliseconds. */
  readonly contextMs: number;
  /** Prompt tokens read in a millisecond, and the most in one step. */
  readonly readRate: number;
  readonly chunk: number;
  /** Cost of a million pairs of chunk and context tokens, in milliseconds. */
  readonly pairsMs: number;
  /** Tokens of an event. */
  readonly stride: number;
  /** Before a request's first step, in milliseconds. */
  readonly firstMs: number;
  /** Time of a fetch from another engine, and of a thousand tokens of it, in milliseconds. */
  readonly fetchMs: number;
  readonly fetchThousandMs: number;
  /** How much slower than these figures it is, 1 for not at all. */
  readonly slowness: number;
}

interface Job {
  readonly request: BackendRequest;
  readonly urgency: number;
  readonly order: number;
  /** Prompt tokens still to be read. */
  unread: number;
  context: number;
  produced: number;
  readonly wanted: number;
}

/** One engine. */
export class EngineModel extends FakeBackend {
  readonly figures: EngineFigures;
  readonly cache: PartCache;
  readonly counts = { read: 0, kept: 0, readingMs: 0, steps: 0 };
  readonly #peers: (address: string) => EngineModel | undefined;
  readonly #jobs = new Map<BackendAnswer, Job>();
  readonly #waiting: Job[] = [];
  readonly #running: Job[] = [];
  #order = 0;
  #stepping = false;

  constructor(
    place: ConstructorParameters<typeof FakeBackend>[0],
    tools: ConstructorParameters<typeof FakeBackend>[1] & {
      figures: EngineFigures;
      peers: (address: string) => EngineModel | undefined;
    },
  ) {
    super(place, tools);
    this.figures = tools.figures;
    this.#peers = tools.peers;
    this.cache = new PartCache();
  }

  override cancel(answer: BackendAnswer): void {
    super.cancel(answer);
    const job = this.#jobs.get(answer);
    if (job !== undefined) {
      this.#drop(job);
    }
  }

  /** Ends at once: what runs is lost, the cache is empty. */
  crash(): void {
    this.mode = "refuse";
    const jobs = [...this.#jobs.keys()];
    this.#jobs.clear();
    this.#waiting.length = 0;
    this.#running.length = 0;
    this.cache.clear();
    jobs.forEach((answer) => answer.lost("reset"));
  }

  protected override run(request: BackendRequest): void {
    const { head, target, events, answer } = request;
    this.#order++;
    const job: Job = {
      request,
      urgency: target.urgency ?? 5,
      order: this.#order,
      unread: head.prompt?.promptTokens ?? 0,
      context: 0,
      produced: request.resumeAfter * this.figures.stride,
      wanted: Math.max(1, events) * this.figures.stride,
    };
    this.#jobs.set(answer, job);
    const fetch = this.#fetch(request);
    this.time.after(fetch + this.figures.firstMs, () => {
      if (this.#jobs.has(answer)) {
        this.#waiting.push(job);
        this.#wake();
      }
    });
  }

  /** Copies what another engine keeps; returns how long that takes. */
  #fetch({ head, target }: BackendRequest): number {
    const from = target.prefixFrom === undefined
      ? undefined
      : this.#peers(target.prefixFrom);
    const parts = head.prompt?.parts.slice(0, -1) ?? [];
    const more = (from?.cache.kept(parts) ?? 0) - this.cache.kept(parts);
    if (from === undefined || more <= 0) {
      return 0;
    }
    let tokens = from.cache.kept(parts);
    for (const part of parts) {
      if (tokens > 0) {
        this.cache.use([part]);
      }
      tokens -= part.tokens;
    }
    const { fetchMs, fetchThousandMs } = this.figures;
    return fetchMs + fetchThousandMs * more / 1_000;
  }

  #wake(): void {
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
    const chunk = this.#readChunk();
    const context = this.#running.reduce((sum, job) => sum + job.context, 0);
    const { figures } = this;
    const took = figures.slowness *
      (figures.stepMs + figures.slotMs * this.#running.length +
        figures.contextMs * context / 1_000 + chunk.tokens / figures.readRate +
        figures.pairsMs * chunk.pairs / 1_000_000);
    this.counts.steps++;
    this.counts.readingMs += chunk.tokens > 0 ? took : 0;
    this.time.after(took, () => {
      this.#produce();
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
      const held = this.#running.reduce(
        (sum, { context, unread }) => sum + context + unread,
        0,
      );
      const need = prompt?.promptTokens ?? 0;
      if (this.#running.length > 0 && held + need > cacheTokens) {
        return;
      }
      this.#waiting.shift();
      const shared = prompt?.parts.slice(0, -1) ?? [];
      const kept = Math.min(need, this.cache.kept(shared));
      this.counts.kept += kept;
      job!.unread = need - kept;
      job!.context = kept;
      this.cache.use(shared);
      this.cache.shrink(cacheTokens - held - need);
      this.#running.push(job!);
    }
  }

  #readChunk(): { tokens: number; pairs: number } {
    let left = this.figures.chunk;
    let pairs = 0;
    for (const job of this.#running) {
      const part = Math.min(left, job.unread);
      job.unread -= part;
      pairs += part * (job.context + part / 2);
      job.context += part;
      left -= part;
    }
    const tokens = this.figures.chunk - left;
    this.counts.read += tokens;
    return { tokens, pairs };
  }

  /** Each answer whose prompt has been read gets one token. */
  #produce(): void {
    if (this.mode === "dark") {
      return;
    }
    for (const job of [...this.#running]) {
      if (job.unread === 0 && this.#jobs.has(job.request.answer)) {
        this.#produceToken(job);
      }
    }
  }

  #produceToken(job: Job): void {
    const { answer } = job.request;
    const { stride } = this.figures;
    job.produced++;
    job.context++;
    const first = job.produced === 1 + job.request.resumeAfter * stride;
    if (first) {
      answer.head(200, false);
    }
    if (first || job.produced % stride === 0) {
      answer.event(Math.floor(job.produced / stride) + 1);
    }
    if (job.produced >= job.wanted) {
      this.#drop(job);
      answer.complete();
    }
  }

  #drop(job: Job): void {
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
