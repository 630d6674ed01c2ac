/**
 * Prefix cache of an engine with limited capacity. The least recently used blocks are evicted first.
 *
 * @module
 */

/** Evictions kept for the next load report. Older ones are dropped, and the report then states a gap. */
const MAX_PENDING_EVICTIONS = 64;

/** Cached blocks and the evictions that have not been reported yet. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #blocks = new Set<number>();
  #evicted: number[] = [];
  #evictionsLost = false;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Number of leading blocks that are cached. */
  countCachedBlocks(blocks: readonly number[]): number {
    const miss = blocks.findIndex((block) => !this.#blocks.has(block));
    return miss < 0 ? blocks.length : miss;
  }

  store(blocks: readonly number[]): void {
    for (const block of blocks) {
      this.#blocks.delete(block);
      this.#blocks.add(block);
    }
    while (this.#blocks.size > this.#capacity) {
      const oldest = this.#blocks.values().next().value!;
      this.#blocks.delete(oldest);
      this.#recordEviction(oldest);
    }
  }

  clear(): void {
    this.#blocks.clear();
    this.#evictionsLost = true;
  }

  /** Returns the evictions since the last call, and whether some were dropped or the cache was cleared. */
  takeEvictions(): { evicted: number[]; gap: boolean } {
    const events = { evicted: this.#evicted, gap: this.#evictionsLost };
    this.#evicted = [];
    this.#evictionsLost = false;
    return events;
  }

  #recordEviction(block: number): void {
    this.#evicted.push(block);
    if (this.#evicted.length > MAX_PENDING_EVICTIONS) {
      this.#evicted.shift();
      this.#evictionsLost = true;
    }
  }
}
