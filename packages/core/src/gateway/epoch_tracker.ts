/**
 * Decides whether an answer of the platform can be applied to the local catalogue.
 *
 * @module
 */
import type { CatalogueEpoch } from "../ids/index.ts";
import { type CataloguePosition, NO_POSITION } from "../routes/index.ts";

/** How an answer relates to the local catalogue. */
export type AnswerValidity =
  /** The answer belongs to the epoch of the local catalogue. */
  | "current"
  /** The platform was restored: its revisions belong to another epoch, and a full read is needed. */
  | "restored"
  /**
   * The answer is outdated: after its read was sent, the local catalogue was replaced by a peer's copy of
   * another epoch.
   */
  | "late";

/** Tracks the epoch that the platform states. */
export class EpochTracker {
  /** The epoch last stated by the platform, or that of the last copy from a peer. */
  #lastEpoch: CatalogueEpoch | undefined;
  #readPosition = NO_POSITION;

  /** The position of the local catalogue when the last read was sent. */
  get readPosition(): CataloguePosition {
    return this.#readPosition;
  }

  /** Records that a read is sent, and the position of the local catalogue at that time. */
  noteRead(position: CataloguePosition): void {
    this.#readPosition = position;
  }

  /** Records that a peer's copy replaced the local catalogue. */
  notePeerCopy({ epoch }: CataloguePosition): void {
    this.#lastEpoch = epoch;
  }

  /**
   * Classifies the answer to the last read. The answer to a full read does not depend on the local position.
   *
   * An answer without an epoch belongs to the last known one. A lower epoch than the last one counts as a
   * different epoch as well: changes no longer continue from the local position.
   */
  classify(
    epoch: CatalogueEpoch | undefined,
    { position, isFullRead }: {
      position: CataloguePosition;
      isFullRead: boolean;
    },
  ): AnswerValidity {
    const epochChanged = this.#readPosition.epoch !== position.epoch;
    if (epochChanged && !(isFullRead && epoch === position.epoch)) {
      return "late";
    }
    if (epoch === undefined || epoch === this.#lastEpoch) {
      return "current";
    }
    const isFirst = this.#lastEpoch === undefined && position.revision === 0;
    this.#lastEpoch = epoch;
    return isFirst ? "current" : "restored";
  }
}
