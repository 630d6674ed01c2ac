/**
 * Which prompt prefixes an engine is thought to have in its cache.
 *
 * @module
 */
import type { PromptPart } from "../fleet/index.ts";

/** Part of an engine's memory that prefixes are counted on to keep: running requests need the rest. */
const KEPT_PART = 0.5;

/** Remembers shared parts, the least recently used ones leave first. */
export class PrefixMemory {
  readonly #limit: number;
  /** Tokens by part, in order of last use. */
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  constructor(cacheTokens: number) {
    this.#limit = cacheTokens * KEPT_PART;
  }

  /** Tokens of the leading parts that are thought to be cached: a later part helps only after them. */
  cached(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.#parts.has(part.id)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Notes that the engine reads these parts. */
  use(parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= this.#limit) {
        return;
      }
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }
}
