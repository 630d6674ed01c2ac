/**
 * Questions how current the document is that an entry holds.
 *
 * @module
 */
import type { Incarnation, Milliseconds, Revision } from "../ids/index.ts";

/** Asks; to be answered at once. */
export interface CurrencyQuestion {
  readonly kind: "question";
  /** Host and port to answer to. */
  readonly from: string;
  readonly sequence: number;
}

/** What the asked one holds. */
export interface CurrencyAnswer {
  readonly kind: "answer";
  readonly incarnation: Incarnation;
  readonly sequence: number;
  /** Of the document that it holds. */
  readonly version: Revision;
  /** Of its whole picture. */
  readonly revision: Revision;
  /** Since that document was known to be the newest. */
  readonly age: Milliseconds;
}

/** Datagrams about currency. */
export type CurrencyMessage = CurrencyQuestion | CurrencyAnswer;
