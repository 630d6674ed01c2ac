/**
 * What entries tell each other of what customers use. Only names and sums travel.
 *
 * @module
 */
import type { CustomerId, Incarnation, RegionId } from "../ids/index.ts";

/** What one entry let in, told to the keeper of its region. */
export interface SpendingReport {
  readonly kind: "report";
  readonly incarnation: Incarnation;
  /** Whether the sums are from the sender's start on, and nobody was told of them before. */
  readonly first: boolean;
  /** Since the sender's start. */
  readonly spent: readonly CustomerSum[];
}

/** What a keeper knows, told to one entry of its region or to the keeper of another. */
export interface SpendingTotals {
  readonly kind: "totals";
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  /** Whether some customer is near its limit, so that all tell more often. */
  readonly near: boolean;
  readonly totals: readonly CustomerTotal[];
}

/** Units of one customer. */
export interface CustomerSum {
  readonly customer: CustomerId;
  readonly sum: number;
}

/** One customer's use as a keeper knows it. */
export interface CustomerTotal extends CustomerSum {
  /** Of the whole fleet's bucket. */
  readonly level: number;
  /** Part of the limit, 0 to 1, that belongs to the regions that the keeper hears. */
  readonly part: number;
}

/** Datagrams about spending. */
export type SpendingMessage = SpendingReport | SpendingTotals;
