/**
 * A constant request rate, spread round robin over the entries.
 *
 * @module
 */
import { setTimeout as wait } from "node:timers/promises";
import { Agent } from "undici";
import { callPlatform } from "./platform_caller.ts";
import type { PlatformEntry } from "./platform_fleet.ts";

/** The outcome of one request. */
export interface LoadResult {
  readonly call: string;
  readonly path: string;
  /** HTTP status, or 0 if no answer came. */
  readonly status: number;
  readonly retryAfterS: number;
  /** Time from sending to the end of the answer. */
  readonly durationMs: number;
}

/** Sends requests from construction until `stop` is called. */
export class SteadyLoad {
  readonly results: LoadResult[] = [];
  readonly #pending = new Set<Promise<void>>();
  readonly #dispatcher = new Agent({ connections: 64 });
  readonly #timer: NodeJS.Timeout;
  #sentCount = 0;

  constructor(
    entries: readonly PlatformEntry[],
    { intervalMs, paths, callPrefix }: {
      /** Time between two requests. */
      intervalMs: number;
      paths: readonly string[];
      callPrefix: string;
    },
  ) {
    this.#timer = setInterval(() => {
      const index = this.#sentCount++;
      const entry = entries[index % entries.length]!;
      const path = paths[Math.floor(index / entries.length) % paths.length]!;
      const pending = this.#send(entry, {
        path,
        call: `${callPrefix}-${index}`,
      })
        .finally(() => this.#pending.delete(pending));
      this.#pending.add(pending);
    }, intervalMs);
  }

  /** Resolves after the given time; the load keeps running. */
  async runFor(durationMs: number): Promise<void> {
    await wait(durationMs);
  }

  /** Stops sending, waits for pending answers and resolves with all results. */
  async stop(): Promise<readonly LoadResult[]> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
    await this.#dispatcher.destroy();
    return this.results;
  }

  async #send(
    { callers }: PlatformEntry,
    { path, call }: { path: string; call: string },
  ): Promise<void> {
    const sentAt = performance.now();
    const answer = await callPlatform(callers, {
      path,
      call,
      body: "x",
      ...(path.startsWith("/again") ? {} : { tokens: "100,5" }),
      dispatcher: this.#dispatcher,
    }).catch(() => undefined);
    this.results.push({
      call,
      path,
      status: answer?.status ?? 0,
      retryAfterS: Number(answer?.headers["retry-after"] ?? 0),
      durationMs: performance.now() - sentAt,
    });
  }
}
