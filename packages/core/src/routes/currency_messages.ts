/**
 * Questions how current the document is that an entry holds.
 *
 * @module
 */
import type { Incarnation, Milliseconds, Revision } from "../ids/index.ts";
import type { CataloguePosition } from "./catalogue_position.ts";
import type { CatalogueChange } from "./endpoint_record.ts";

/** Asks; to be answered at once. */
export interface CurrencyQuestion {
  readonly kind: "question";
  /** Host and port to answer to. */
  readonly from: string;
  readonly sequence: number;
  /** Of the picture that the asker holds. */
  readonly position: CataloguePosition;
}

/** Changes that lead from the asker's revision to another of the same epoch, none of them the document. */
export interface PictureNews {
  readonly revision: Revision;
  readonly changes: readonly CatalogueChange[];
}

/** What the asked one holds. */
export interface CurrencyAnswer {
  readonly kind: "answer";
  readonly incarnation: Incarnation;
  readonly sequence: number;
  /** Of the document that it holds. */
  readonly version: Revision;
  /** Of its whole picture. */
  readonly position: CataloguePosition;
  /** Since that document was known to be the newest. */
  readonly age: Milliseconds;
  /** `undefined` where there are none, or too many: then the asker reads for itself. */
  readonly news: PictureNews | undefined;
}

/** Datagrams about currency. */
export type CurrencyMessage = CurrencyQuestion | CurrencyAnswer;
