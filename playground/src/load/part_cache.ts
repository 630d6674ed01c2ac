/**
 * The prompt parts in an engine's prefix cache, evicted least recently used first.
 *
 * Entries have a similar record of the caches of engines. This class does not share its code, since the model
 * would then share its faults.
 *
 * @module
 */

interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Holds prompt parts in order of last use. */
export class PromptPartCache {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** Returns the number of tokens in the longest cached prefix of the parts. */
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

  /** Adds parts or marks them as just used. */
  touch(parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
  }

  /** Evicts parts until at most `maxTokens` tokens remain. */
  evictTo(maxTokens: number): void {
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= maxTokens) {
        return;
      }
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }

  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
  }
}
