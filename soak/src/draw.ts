/**
 * Draws of a plan, all from one seed.
 *
 * @module
 */
import { SeededRandomness } from "@sassafrasstep/core";

const SEED_FACTOR = 1_000_003;

/** Draws that are the same for the same seed and part. */
export class Draw {
  readonly #random: SeededRandomness;

  constructor(seed: number, part: number) {
    this.#random = new SeededRandomness(seed * SEED_FACTOR + part);
  }

  /** A whole number from `least` to `most`, both included. */
  between(least: number, most: number): number {
    return least + Math.floor(this.#random.next() * (most - least + 1));
  }

  /** A number in [0, 1). */
  part(): number {
    return this.#random.next();
  }

  chance(probability: number): boolean {
    return this.#random.next() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.between(0, items.length - 1)]!;
  }
}
