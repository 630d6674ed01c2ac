/**
 * Tells whether an answer of the platform may be applied to what is held.
 *
 * @module
 */
import type { CatalogueEpoch } from "../ids/index.ts";
import { type CataloguePosition, NO_POSITION } from "../routes/index.ts";

/** How an answer relates to what is held. */
export type AnswerStanding =
  /** Of the epoch that is held. */
  | "current"
  /** The platform counts anew: what is held has to be read again. */
  | "restored"
  /** What is held came from a peer meanwhile, and is of another epoch. */
  | "late";

/** Follows the epoch that the platform states. */
export class EpochTracker {
  /** As it was stated last, or as a peer told it with what is held. */
  #stated: CatalogueEpoch | undefined;
  #asked = NO_POSITION;

  /** Where the last read counted from. */
  get asked(): CataloguePosition {
    return this.#asked;
  }

  /** A read is sent by an entry that holds this. */
  ask(held: CataloguePosition): void {
    this.#asked = held;
  }

  /** What is held came from a peer. */
  adopt({ epoch }: CataloguePosition): void {
    this.#stated = epoch;
  }

  /**
   * Judges the answer to the last read; one to a whole read need not count from what is held.
   *
   * An answer that states no epoch is of the one before. A lower one than before is another one as well:
   * changes are no longer counted from where they were.
   */
  judge(
    stated: CatalogueEpoch | undefined,
    { held, whole }: { held: CataloguePosition; whole: boolean },
  ): AnswerStanding {
    const moved = this.#asked.epoch !== held.epoch;
    if (moved && !(whole && stated === held.epoch)) {
      return "late";
    }
    if (stated === undefined || stated === this.#stated) {
      return "current";
    }
    const first = this.#stated === undefined && held.revision === 0;
    this.#stated = stated;
    return first ? "current" : "restored";
  }
}
