/**
 * Remembers what was recently answered, and is therefore hardly the cause of a crash.
 *
 * @module
 */
import type { ContentDigest, Instant, PartDigest } from "../ids/index.ts";

/**
 * A generation of requests lasts this long, so an answer is remembered for one to two times as long. A request answered
 * that recently does not crash endpoints.
 */
const GENERATION_MS = 30_000;
/**
 * Limit for the digests in one generation. A busy entry has this many answered in half a minute. They take
 * about half a megabyte.
 */
const MAX_DIGESTS_PER_GENERATION = 4_096;
/** Limit for the parts that are remembered. They take about half a megabyte. */
const MAX_PARTS = 4_096;
/**
 * A part that was answered this recently is not suspected yet. Answers to a popular part that were under way elsewhere at
 * a crash show within this time that it is harmless.
 */
const PART_VALIDITY_MS = 2_500;
/** A part that was answered this recently is not held, since endpoints crash for other reasons too. */
const PART_VETO_MS = 5_000;

/** The recent answers of an entry, by request and by prompt part. */
export class RecentAnswers {
  /**
   * Two generations of digests. A request that is answered often is in both, and a flood of other
   * requests displaces it only until its next answer.
   */
  #current = new Set<ContentDigest>();
  #previous = new Set<ContentDigest>();
  #startedAt: Instant | undefined;
  /** When prompts with each part were last answered. The part answered longest ago is dropped first. */
  readonly #partsAnsweredAt = new Map<PartDigest, Instant>();

  /** Records a complete answer to a request with this content and these parts. */
  add(
    { content, parts = [] }: {
      content: ContentDigest;
      parts?: readonly PartDigest[] | undefined;
    },
    now: Instant,
  ): void {
    this.#rotate(now);
    this.#current.add(content);
    parts.forEach((part) => this.addPart(part, now));
  }

  /** Whether a request with this content was answered so recently that it does not crash endpoints. */
  hasRequest(content: ContentDigest, now: Instant): boolean {
    this.#rotate(now);
    return this.#current.has(content) || this.#previous.has(content);
  }

  /** Whether a prompt with this part was answered so recently that the part is not suspected yet. */
  hasPart(part: PartDigest, now: Instant): boolean {
    return now - (this.lastAnswerTo(part) ?? -Infinity) <= PART_VALIDITY_MS;
  }

  /** Whether a prompt with this part was answered so recently that the part must not be held. */
  vetoes(part: PartDigest, now: Instant): boolean {
    return now - (this.lastAnswerTo(part) ?? -Infinity) <= PART_VETO_MS;
  }

  /** Returns when a prompt with this part was last answered, `undefined` if that is not known. */
  lastAnswerTo(part: PartDigest): Instant | undefined {
    return this.#partsAnsweredAt.get(part);
  }

  /** Records a complete answer to a prompt with this part. */
  addPart(part: PartDigest, now: Instant): void {
    this.#partsAnsweredAt.delete(part);
    this.#partsAnsweredAt.set(part, now);
    if (this.#partsAnsweredAt.size > MAX_PARTS) {
      const [oldest] = this.#partsAnsweredAt.keys();
      this.#partsAnsweredAt.delete(oldest!);
    }
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
