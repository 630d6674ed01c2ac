/**
 * Messages by which an entry asks another one how up to date its catalogue is.
 *
 * @module
 */
import type { Incarnation, Milliseconds, Revision } from "../ids/index.ts";
import type { CataloguePosition } from "./catalogue_position.ts";
import type { CatalogueChange } from "./endpoint_record.ts";

/** Asks an entry for what it holds, to be answered at once. */
export interface FreshnessRequest {
  readonly kind: "question";
  /** Host and port to answer to. */
  readonly from: string;
  readonly sequence: number;
  /** Position of the catalogue that the asker holds. */
  readonly position: CataloguePosition;
}

/** Changes from the asker's revision to a later one of the same epoch, none of them to the document. */
export interface CatalogueDelta {
  readonly revision: Revision;
  readonly changes: readonly CatalogueChange[];
}

/** States what the asked entry holds. */
export interface FreshnessResponse {
  readonly kind: "answer";
  readonly incarnation: Incarnation;
  readonly sequence: number;
  /** Version of its routing document. */
  readonly version: Revision;
  /** Position of its catalogue. */
  readonly position: CataloguePosition;
  /** Time since its document was known to be the newest. */
  readonly age: Milliseconds;
  /** `undefined` if there are no changes, or too many: then the asker reads the catalogue itself. */
  readonly news: CatalogueDelta | undefined;
}

/** A message of this exchange. */
export type FreshnessMessage = FreshnessRequest | FreshnessResponse;
