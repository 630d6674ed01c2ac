/**
 * Remembers which requests were recently answered.
 *
 * @module
 */
import type { ContentDigest, Instant } from "../ids/index.ts";

/**
 * A generation lasts this long, so an answer is remembered for one to two times as long. A request answered
 * that recently does not crash endpoints.
 */
const GENERATION_MS = 30_000;
/**
 * Limit for the digests in one generation. A busy entry has this many answered in half a minute. They take
 * about half a megabyte.
 */
const MAX_DIGESTS_PER_GENERATION = 4_096;

/**
 * Keeps two generations of digests. A request that is answered often is in both, and a flood of other
 * requests displaces it only until its next answer.
 */
export class AnswerHistory {
  #current = new Set<ContentDigest>();
  #previous = new Set<ContentDigest>();
  #startedAt: Instant | undefined;

  add(content: ContentDigest, now: Instant): void {
    this.#rotate(now);
    this.#current.add(content);
  }

  has(content: ContentDigest, now: Instant): boolean {
    this.#rotate(now);
    return this.#current.has(content) || this.#previous.has(content);
  }

  #rotate(now: Instant): void {
    this.#startedAt ??= now;
    const elapsed = now - this.#startedAt;
    if (
      elapsed < GENERATION_MS && this.#current.size < MAX_DIGESTS_PER_GENERATION
    ) {
      return;
    }
    this.#previous = elapsed < 2 * GENERATION_MS ? this.#current : new Set();
    this.#current = new Set();
    this.#startedAt = now;
  }
}
