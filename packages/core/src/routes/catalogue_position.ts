/**
 * Positions in the catalogue's history.
 *
 * @module
 */
import type { CatalogueEpoch, Revision } from "../ids/index.ts";

/** A revision with the epoch of its counter. Revisions of different epochs cannot be compared. */
export interface CataloguePosition {
  readonly epoch: CatalogueEpoch;
  readonly revision: Revision;
}

/** Position before anything was read. */
export const NO_POSITION: CataloguePosition = {
  epoch: 0 as CatalogueEpoch,
  revision: 0 as Revision,
};

/** Whether `left` is later than `right`. */
export function isLaterPosition(
  left: CataloguePosition,
  right: CataloguePosition,
): boolean {
  return left.epoch === right.epoch
    ? left.revision > right.revision
    : left.epoch > right.epoch;
}

/** Whether two positions are equal. */
export function isSamePosition(
  left: CataloguePosition,
  right: CataloguePosition,
): boolean {
  return left.epoch === right.epoch && left.revision === right.revision;
}
