/**
 * How soon a region would begin a request that arrives now, as announced to other regions.
 *
 * @module
 */
import type { Milliseconds, RegionId, ServiceId } from "../ids/index.ts";

/** The outlook of one service in one region. */
export interface ServiceOutlook {
  readonly service: ServiceId;
  /** Expected time to the first event of a request that arrives now, by rank, 0 first. */
  readonly startDelays: readonly Milliseconds[];
  /** Prompt tokens per second that the region's engines could prefill beside their present work. */
  readonly spareTokensPerSecond: number;
}

/** The outlook of a region's services. */
export interface RegionOutlook {
  readonly region: RegionId;
  /** Time since it was estimated. */
  readonly age: Milliseconds;
  readonly services: readonly ServiceOutlook[];
}
