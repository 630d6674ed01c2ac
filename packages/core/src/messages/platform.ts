/**
 * Data that the platform and the endpoints publish.
 *
 * @module
 */
import type {
  EndpointId,
  Milliseconds,
  RegionId,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";

/** One VM in the platform's list. */
export interface ListedVm {
  /** Identifies one lifetime of a VM: its replacement has another id, even at the same address. */
  readonly id: EndpointId;
  readonly role: "entry" | "endpoint";
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly url: string;
  /** URL of an entry for peers. */
  readonly controlUrl?: string;
  /** Engine pool, or name of a plain service. */
  readonly pool: string;
  readonly state: "live" | "leaving";
}

/** Load of one endpoint, measured by itself some time ago. */
export interface LoadReport {
  /** Age of the measurement when the report was sent. */
  readonly age: Milliseconds;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** Prompt tokens processed per second, 0 for a plain service. */
  readonly prefillRate: number;
  /** Mean time for which one request occupies a slot. */
  readonly holdTime: Milliseconds;
  readonly draining: boolean;
  /** Model that the engine serves now. */
  readonly model: string;
  /** Fencing number of the last order that the engine accepted. */
  readonly fence: number;
  /** Prefix blocks recently evicted from the cache. With `cacheGap`, evictions were lost and its content is unknown. */
  readonly evicted: readonly number[];
  readonly cacheGap: boolean;
}

/** Pool of the endpoints that serve a service. */
export interface ServicePool {
  readonly service: ServiceId;
  readonly pool: string;
}
