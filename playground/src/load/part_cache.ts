/**
 * Prompt parts that an engine keeps; the least recently used ones yield.
 *
 * Not the memory that entries keep of engines, though alike: a model that shared its code would share its
 * faults.
 *
 * @module
 */

interface Part {
  readonly id: string;
  readonly tokens: number;
}

/** Keeps parts in order of last use. */
export class PartCache {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** Tokens of the leading parts that are kept. */
  kept(parts: readonly Part[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.#parts.has(part.id)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  use(parts: readonly Part[]): void {
    for (const { id, tokens } of parts) {
      this.#tokens += tokens - (this.#parts.get(id) ?? 0);
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
  }

  /** Lets parts go until no more than `most` tokens are kept. */
  shrink(most: number): void {
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= most) {
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
