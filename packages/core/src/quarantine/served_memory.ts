/**
 * Which requests were answered lately.
 *
 * @module
 */
import type { ContentDigest, Instant } from "../ids/index.ts";

/** A request that was answered this recently does not crash what runs it. */
const GENERATION_MS = 30_000;
/** Digests of one generation: a busy entry answers so many in half a minute, in half a megabyte. */
const MOST_DIGESTS = 4_096;

/**
 * Two generations of digests. What comes often is in both, so that a flood of other requests does not push
 * it out for long: with the next answer it is back.
 */
export class ServedMemory {
  #present = new Set<ContentDigest>();
  #former = new Set<ContentDigest>();
  #since: Instant | undefined;

  add(content: ContentDigest, now: Instant): void {
    this.#turn(now);
    this.#present.add(content);
  }

  has(content: ContentDigest, now: Instant): boolean {
    this.#turn(now);
    return this.#present.has(content) || this.#former.has(content);
  }

  #turn(now: Instant): void {
    this.#since ??= now;
    const passed = now - this.#since;
    if (passed < GENERATION_MS && this.#present.size < MOST_DIGESTS) {
      return;
    }
    this.#former = passed < 2 * GENERATION_MS ? this.#present : new Set();
    this.#present = new Set();
    this.#since = now;
  }
}
