/**
 * Callers that ask at a steady rate, each entry in turn.
 *
 * @module
 */
import { setTimeout as wait } from "node:timers/promises";
import { Agent } from "undici";
import { callPlatform } from "./platform_caller.ts";
import type { PlatformEntry } from "./platform_fleet.ts";

/** One request and how it ended. */
export interface LoadResult {
  readonly call: string;
  readonly path: string;
  /** 0 where no answer came. */
  readonly status: number;
  readonly retryAfter: number;
  /** Milliseconds to the end of the answer. */
  readonly took: number;
}

/** Sends requests until `end` is called. */
export class SteadyLoad {
  readonly results: LoadResult[] = [];
  readonly #open = new Set<Promise<void>>();
  readonly #dispatcher = new Agent({ connections: 64 });
  readonly #timer: NodeJS.Timeout;
  #count = 0;

  constructor(
    entries: readonly PlatformEntry[],
    { every, paths, name }: {
      /** Milliseconds between two requests. */
      every: number;
      paths: readonly string[];
      name: string;
    },
  ) {
    this.#timer = setInterval(() => {
      const index = this.#count++;
      const entry = entries[index % entries.length]!;
      const path = paths[Math.floor(index / entries.length) % paths.length]!;
      const sent = this.#send(entry, { path, call: `${name}-${index}` })
        .finally(() => this.#open.delete(sent));
      this.#open.add(sent);
    }, every);
  }

  /** Sends for so many milliseconds more. */
  async during(time: number): Promise<void> {
    await wait(time);
  }

  /** Sends no more, and waits for the answers. */
  async end(): Promise<readonly LoadResult[]> {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
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
      retryAfter: Number(answer?.headers["retry-after"] ?? 0),
      took: performance.now() - sentAt,
    });
  }
}
