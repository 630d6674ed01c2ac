/**
 * Messages that entries exchange about customers' usage. They contain only customer ids and sums.
 *
 * @module
 */
import type { CustomerId, Incarnation, RegionId } from "../ids/index.ts";

/** Usage admitted by one entry, sent to the aggregator of its region. */
export interface SpendingReport {
  readonly kind: "report";
  readonly incarnation: Incarnation;
  /** Whether the sums include all usage since the sender's start because no aggregator has counted any of it yet. */
  readonly first: boolean;
  /** Units admitted since the sender started. */
  readonly spent: readonly CustomerSum[];
}

/** Usage known to an aggregator, sent to an entry of its region or to the aggregator of another region. */
export interface SpendingTotals {
  readonly kind: "totals";
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  /** Whether any customer is near its limit, so that entries send messages more often. */
  readonly near: boolean;
  readonly totals: readonly CustomerTotal[];
}

/** Units used by one customer. */
export interface CustomerSum {
  readonly customer: CustomerId;
  readonly sum: number;
}

/** One customer's usage as an aggregator knows it. */
export interface CustomerTotal extends CustomerSum {
  /** Units left in the aggregator's copy of the customer's bucket, negative if overdrawn. */
  readonly level: number;
  /** Share of the limit, from 0 to 1, available to the regions that the aggregator is connected to. */
  readonly part: number;
}

/** Any message about customers' usage, sent as a datagram. */
export type SpendingMessage = SpendingReport | SpendingTotals;
