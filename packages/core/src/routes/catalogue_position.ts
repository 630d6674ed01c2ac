/**
 * Places in the history of the catalogue.
 *
 * @module
 */
import type { CatalogueEpoch, Revision } from "../ids/index.ts";

/** A revision, and the life of the counter that it belongs to: revisions of two epochs do not compare. */
export interface CataloguePosition {
  readonly epoch: CatalogueEpoch;
  readonly revision: Revision;
}

/** Before anything was read. */
export const NO_POSITION: CataloguePosition = {
  epoch: 0 as CatalogueEpoch,
  revision: 0 as Revision,
};

/** Whether one place lies after another. */
export function isAfter(
  left: CataloguePosition,
  right: CataloguePosition,
): boolean {
  return left.epoch === right.epoch
    ? left.revision > right.revision
    : left.epoch > right.epoch;
}

/** Whether two places are the same. */
export function isSamePosition(
  left: CataloguePosition,
  right: CataloguePosition,
): boolean {
  return left.epoch === right.epoch && left.revision === right.revision;
}
