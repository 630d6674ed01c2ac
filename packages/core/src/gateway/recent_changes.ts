/**
 * Recently applied changes of the catalogue, for peers that are a few revisions behind.
 *
 * @module
 */
import type { Revision } from "../ids/index.ts";
import type { CatalogueChange, CatalogueDelta } from "../routes/index.ts";

/** Number of reads that are remembered. */
const MAX_READS = 32;
/** Maximum number of changes in one answer: more do not fit into a datagram. */
const MAX_CHANGES = 6;

interface Step {
  readonly from: Revision;
  readonly to: Revision;
  readonly changes: readonly CatalogueChange[];
}

/** Remembers the changes that the last reads returned. */
export class RecentChanges {
  #steps: Step[] = [];

  /** Adds the result of a read that led from one revision to another. */
  add(step: Step): void {
    if (step.to > step.from) {
      this.#steps.push(step);
      this.#steps = this.#steps.slice(-MAX_READS);
    }
  }

  /** Forgets all changes, after the catalogue was replaced as a whole. */
  clear(): void {
    this.#steps = [];
  }

  /**
   * Returns all changes since a revision. The result is `undefined` if some of them are forgotten, if there
   * are too many, or if one is a document, which does not fit into a datagram.
   *
   * A step that began before the revision is included completely: applying its changes again in order gives
   * the same result.
   */
  since(revision: Revision): CatalogueDelta | undefined {
    const first = this.#steps.findIndex(({ from, to }) =>
      from <= revision && revision < to
    );
    const steps = first < 0 ? [] : this.#steps.slice(first);
    const contiguous = steps.every(({ from }, index) =>
      index === 0 || from === steps[index - 1]!.to
    );
    const changes = steps.flatMap(({ changes }) => changes);
    const small = changes.length <= MAX_CHANGES &&
      changes.every(({ kind }) => kind !== "document");
    return steps.length > 0 && contiguous && small
      ? { revision: steps.at(-1)!.to, changes }
      : undefined;
  }
}
