/**
 * The published picture as other controllers read it.
 *
 * @module
 */
import type { CurrencyView } from "../customers/index.ts";
import type { EndpointId, Instant, ZoneId } from "../ids/index.ts";
import type {
  CataloguePosition,
  EndpointRecord,
  RouteTable,
  RoutingDocument,
} from "../routes/index.ts";

/** The section of the board. */
export interface CatalogueView {
  readonly position: CataloguePosition;
  /** Whole reads, and reads of changes that the platform no longer had, since the start. */
  readonly wholeReads: number;
  readonly historyMisses: number;
  readonly document: RoutingDocument | undefined;
  readonly table: RouteTable | undefined;
  /** How current the document is known to be. */
  readonly currency: CurrencyView;
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord>;
  readonly evacuated: ReadonlySet<ZoneId>;
  /** Grows with each change of the above. */
  readonly generation: number;
  /** When the platform last answered. */
  readonly confirmedAt: Instant | undefined;
  readonly reachable: boolean;
  /** Whether the last read failed. */
  readonly failing: boolean;
  /** Of all that decisions are made from: the same where two entries hold the same. */
  readonly picture: number;
  /** Whether it was read so long ago that a request has to wait for the read under way. */
  isOld(now: Instant): boolean;
  /** A request came that only a newer document can judge: reads soon, and says whether that is of use. */
  noteDoubt(now: Instant): boolean;
}
