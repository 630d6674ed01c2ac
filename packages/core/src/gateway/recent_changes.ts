/**
 * Changes of the picture that this entry applied lately, for peers that are behind by a few.
 *
 * @module
 */
import type { Revision } from "../ids/index.ts";
import type { CatalogueChange, PictureNews } from "../routes/index.ts";

/** Reads that are remembered, and changes in one answer: a datagram holds no more. */
const MOST_READS = 32;
const MOST_CHANGES = 6;

interface Step {
  readonly from: Revision;
  readonly to: Revision;
  readonly changes: readonly CatalogueChange[];
}

/** Remembers what the last reads brought. */
export class RecentChanges {
  #steps: Step[] = [];

  /** A read led from one revision to another. */
  note(step: Step): void {
    if (step.to > step.from) {
      this.#steps.push(step);
      this.#steps = this.#steps.slice(-MOST_READS);
    }
  }

  /** Something else than a read of changes led to the present revision. */
  clear(): void {
    this.#steps = [];
  }

  /**
   * All changes since a revision; `undefined` where some are not remembered, are too many, or are a document,
   * which no datagram holds. A step that began earlier is told whole: done again in order, it comes to the
   * same.
   */
  since(revision: Revision): PictureNews | undefined {
    const first = this.#steps.findIndex(({ from, to }) =>
      from <= revision && revision < to
    );
    const steps = first < 0 ? [] : this.#steps.slice(first);
    const whole = steps.every(({ from }, index) =>
      index === 0 || from === steps[index - 1]!.to
    );
    const changes = steps.flatMap(({ changes }) => changes);
    const small = changes.length <= MOST_CHANGES &&
      changes.every(({ kind }) => kind !== "document");
    return steps.length > 0 && whole && small
      ? { revision: steps.at(-1)!.to, changes }
      : undefined;
  }
}
