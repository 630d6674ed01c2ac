/**
 * The published picture as other controllers read it.
 *
 * @module
 */
import type { EndpointId, Instant, Revision, ZoneId } from "../ids/index.ts";
import type {
  EndpointRecord,
  RouteTable,
  RoutingDocument,
} from "../routes/index.ts";

/** The section of the board. */
export interface CatalogueView {
  readonly revision: Revision;
  readonly document: RoutingDocument | undefined;
  readonly table: RouteTable | undefined;
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord>;
  readonly evacuated: ReadonlySet<ZoneId>;
  /** Grows with each change of the above. */
  readonly generation: number;
  /** When the platform last answered. */
  readonly confirmedAt: Instant | undefined;
  readonly reachable: boolean;
  /** Whether the last read failed. */
  readonly failing: boolean;
}
