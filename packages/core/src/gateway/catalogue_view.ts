/**
 * Read access to the catalogue for other controllers.
 *
 * @module
 */
import type { FreshnessView } from "../customers/index.ts";
import type { EndpointId, Instant, ZoneId } from "../ids/index.ts";
import type {
  CataloguePosition,
  EndpointRecord,
  RouteTable,
  RoutingDocument,
} from "../routes/index.ts";

/** Read access to the local copy of the catalogue. */
export interface CatalogueView {
  readonly position: CataloguePosition;
  /** Number of full reads since the process started. */
  readonly fullReads: number;
  /** Number of reads of changes that failed because the platform had compacted them. */
  readonly compactedReads: number;
  readonly document: RoutingDocument | undefined;
  readonly table: RouteTable | undefined;
  /** How recently the document was known to be the newest. */
  readonly documentFreshness: FreshnessView;
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord>;
  readonly evacuatedZones: ReadonlySet<ZoneId>;
  /** Incremented with each change of the document, the endpoints or the evacuations. */
  readonly generation: number;
  /** When the platform last answered. */
  readonly lastAnsweredAt: Instant | undefined;
  /** The latest time at which the local catalogue is known to have been the newest, `undefined` if none is known. */
  readonly confirmedAt: Instant | undefined;
  /** Whether the platform answered the last read. False until the first answer. */
  readonly reachable: boolean;
  /** Whether the last read failed. */
  readonly failing: boolean;
  /** Hash of everything that routing decisions depend on. Entries that hold equal content have equal hashes. */
  readonly contentHash: number;
  /** Whether the catalogue is so old that requests have to wait for the read under way. */
  isStale(now: Instant): boolean;
  /** Asks the platform whether the local catalogue is the newest, upon which `confirmedAt` rises. */
  confirm(now: Instant): void;
  /**
   * Schedules an early read, for a request that only a newer document can decide. Returns false if reads are
   * failing, so that waiting is of no use.
   */
  readForUnknownKey(now: Instant): boolean;
}
