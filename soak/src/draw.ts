/**
 * Random numbers from which plans are drawn, all derived from one seed.
 *
 * @module
 */
import { SeededRandomness } from "@sassafrasstep/core";

const SEED_FACTOR = 1_000_003;

/** A random generator that returns the same numbers for the same seed and sequence number. */
export class Draw {
  readonly #random: SeededRandomness;

  constructor(seed: number, sequence: number) {
    this.#random = new SeededRandomness(seed * SEED_FACTOR + sequence);
  }

  /** Draws an integer from `min` to `max`, both included. */
  integer(min: number, max: number): number {
    return min + Math.floor(this.#random.next() * (max - min + 1));
  }

  /** Draws a number in [0, 1). */
  fraction(): number {
    return this.#random.next();
  }

  chance(probability: number): boolean {
    return this.#random.next() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }
}
