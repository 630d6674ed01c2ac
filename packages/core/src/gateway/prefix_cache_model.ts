/**
 * Models which prompt prefixes an engine has in its cache.
 *
 * @module
 */
import type { PromptPart } from "../fleet/index.ts";

/** Fraction of an engine's memory that is assumed to hold prefixes, as running requests need the rest. */
const CACHED_PREFIX_FRACTION = 0.5;

/** Remembers the shared prompt parts of an engine and evicts the least recently used ones first. */
export class PrefixCacheModel {
  readonly #limit: number;
  /** Tokens by part, least recently used first. */
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  constructor(cacheTokens: number) {
    this.#limit = cacheTokens * CACHED_PREFIX_FRACTION;
  }

  /**
   * Tokens of the leading parts that are presumably cached. A part is only useful if all parts before it
   * are cached.
   */
  cachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.#parts.has(part.id)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Records that the engine prefills these parts. */
  recordUse(parts: readonly PromptPart[]): void {
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
