/**
 * Records that endpoints publish on the platform, and the catalogue's changes.
 *
 * @module
 */
import type {
  CatalogueEpoch,
  EndpointId,
  EndpointLife,
  Milliseconds,
  Revision,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { RoutingDocument } from "./route.ts";

/** An endpoint's description of itself. It may restart under the same id; `life` tells its lives apart. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** Host and port. Another endpoint may reuse it after this one has ended. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly softwareVersion: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** How long it stays cold, counted from when the record was written. */
  readonly coldFor: Milliseconds;
  /** Time until it shuts down whatever it still runs, if it leaves at short notice. */
  readonly leavesIn: Milliseconds | undefined;
  /** `undefined` if the endpoint doesn't state it. Its records are then ordered by `sequence` alone. */
  readonly life: EndpointLife | undefined;
  /** Increases with each record that the endpoint writes, and starts over with each life. */
  readonly sequence: number;
}

/** Whether two records belong to the same life of an endpoint. */
export function isSameLife(
  left: Pick<EndpointRecord, "life">,
  right: Pick<EndpointRecord, "life">,
): boolean {
  return left.life === right.life;
}

/**
 * Whether two records belong to the same process. An endpoint that does not state its life shows by another software
 * version that it has restarted.
 */
export function isSameProcess(
  left: Pick<EndpointRecord, "life" | "softwareVersion">,
  right: Pick<EndpointRecord, "life" | "softwareVersion">,
): boolean {
  return isSameLife(left, right) &&
    left.softwareVersion === right.softwareVersion;
}

/**
 * Whether a record replaces a known record of the same id.
 *
 * The life takes precedence over the sequence, which starts over with each life. An endpoint that states its
 * life always does so, so a record without one is from another writer, or from before the endpoint stated it.
 */
export function supersedes(
  incoming: Pick<EndpointRecord, "life" | "sequence">,
  known: Pick<EndpointRecord, "life" | "sequence">,
): boolean {
  if (isSameLife(incoming, known)) {
    return incoming.sequence >= known.sequence;
  }
  return (incoming.life ?? -Infinity) > (known.life ?? -Infinity);
}

/** One change of the catalogue. */
export type CatalogueChange =
  | { readonly kind: "document"; readonly document: RoutingDocument }
  | { readonly kind: "endpoint"; readonly record: EndpointRecord }
  | { readonly kind: "endpointRemoved"; readonly id: EndpointId }
  /** No more requests may be sent to endpoints of the zone. */
  | { readonly kind: "evacuated"; readonly zone: ZoneId }
  | { readonly kind: "evacuationEnded"; readonly zone: ZoneId };

/** The whole catalogue as of one revision. */
export interface CatalogueSnapshot {
  /** Epoch of the revision, `undefined` if the source doesn't state it. */
  readonly epoch?: CatalogueEpoch | undefined;
  readonly revision: Revision;
  /** `undefined` before the first document was published. */
  readonly document: RoutingDocument | undefined;
  readonly endpoints: readonly EndpointRecord[];
  readonly evacuated: readonly ZoneId[];
}

/** Changes of the catalogue up to a revision, in order. */
export interface CatalogueChanges {
  /** Epoch of the revision, `undefined` if the source doesn't state it. */
  readonly epoch?: CatalogueEpoch | undefined;
  readonly revision: Revision;
  readonly changes: readonly CatalogueChange[];
}
