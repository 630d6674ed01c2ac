/**
 * Draws from a seed.
 *
 * @module
 */
import { SeededRandomness } from "@sassafrasstep/core";
import type { ServedAnswer } from "./endless_server.ts";
import { ENDLESS_SHAPES, type EndlessShape } from "./endless_shapes.ts";
import type { Reader } from "./raw_caller.ts";

type Pace = Extract<ServedAnswer, { kind: "endless" }>["pace"];

/** A sequence of draws that its seed determines. */
export class Draw {
  readonly #random: SeededRandomness;

  constructor(seed: number) {
    this.#random = new SeededRandomness(seed);
  }

  /** A whole number from `from` up to and including `to`. */
  between(from: number, to: number): number {
    return from + Math.floor(this.#random.next() * (to - from + 1));
  }

  oneOf<Item>(items: readonly Item[]): Item {
    return items[this.between(0, items.length - 1)]!;
  }

  chance(probability: number): boolean {
    return this.#random.next() < probability;
  }

  shape(): EndlessShape {
    return this.oneOf(ENDLESS_SHAPES);
  }

  pace(): Pace {
    return this.chance(0.75) ? "fast" : "bytes";
  }

  /** A reader that leaves within `timeMs`, if it leaves. */
  reader(timeMs: number): Reader {
    const kind = this.oneOf(["fast", "slow", "none", "leaves"] as const);
    return kind === "leaves"
      ? { kind, afterMs: this.between(20, timeMs) }
      : { kind };
  }
}
