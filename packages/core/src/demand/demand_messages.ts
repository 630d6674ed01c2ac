/**
 * What one entry has waiting and has sent to endpoints, as reported to the other entries of its region.
 *
 * @module
 */
import type { CustomerId, EndpointId, ServiceId } from "../ids/index.ts";

/** Waiting requests of one service, rank and customer. */
export interface WaitingGroup {
  readonly service: ServiceId;
  /** Rank of the requests, 0 first. */
  readonly rank: number;
  /** Whether the requests can no longer meet their objective. */
  readonly late: boolean;
  /** `undefined` for requests without a customer. */
  readonly customer: CustomerId | undefined;
  readonly requests: number;
  /** Prompt tokens that engines would have to prefill. */
  readonly tokens: number;
}

/** Requests of one service and customer that were sent to endpoints within the last second. */
export interface PlacedGroup {
  readonly service: ServiceId;
  /**
   * `undefined` for requests without a customer, and for those of all customers together that have no group of their
   * own.
   */
  readonly customer?: CustomerId | undefined;
  readonly requests: number;
  /** Prompt tokens that engines had to prefill. */
  readonly tokens: number;
}

/** The contention that an endpoint reported with an answer to the entry. */
export interface ReportedPace {
  readonly endpoint: EndpointId;
  /** Duration of work on the endpoint's machine, as a percentage of the usual one. */
  readonly contention: number;
  /** Milliseconds since the answer. */
  readonly age: number;
}

/** The demand at one entry. */
export interface DemandReport {
  readonly waiting: readonly WaitingGroup[];
  readonly placed: readonly PlacedGroup[];
  /** Contention that other entries would not expect, and that was not shared with them yet. */
  readonly paces: readonly ReportedPace[];
}

/** A report without any demand. */
export const NO_DEMAND: DemandReport = {
  waiting: [],
  placed: [],
  paces: [],
};
