/**
 * Remembers when prompts with each part were last answered.
 *
 * @module
 */
import type { Instant, PartDigest } from "../ids/index.ts";

/** Limit for the parts that are remembered. They take about half a megabyte. */
const MAX_PARTS = 4_096;

/** The latest answer for each part. The part answered longest ago is dropped first. */
export class PartAnswers {
  readonly #answeredAt = new Map<PartDigest, Instant>();

  /** Records a complete answer to a prompt with these parts. */
  add(parts: readonly PartDigest[], now: Instant): void {
    for (const part of parts) {
      this.#answeredAt.delete(part);
      this.#answeredAt.set(part, now);
    }
    for (const part of this.#answeredAt.keys()) {
      if (this.#answeredAt.size <= MAX_PARTS) {
        return;
      }
      this.#answeredAt.delete(part);
    }
  }

  /** Returns when a prompt with this part was last answered, `undefined` if that is not known. */
  lastAnswer(part: PartDigest): Instant | undefined {
    return this.#answeredAt.get(part);
  }
}
