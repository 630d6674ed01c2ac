/**
 * What an endpoint says of itself in the platform's records.
 *
 * @module
 */
import type {
  EndpointId,
  Milliseconds,
  Revision,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { RoutingDocument } from "./route.ts";

/** One life of one endpoint: a restarted one has another id. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** Host and port. Another endpoint may get it after this one has ended. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly softwareVersion: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** How long it stays cold, as of the record's writing. */
  readonly coldFor: Milliseconds;
  /** Time until it is gone whatever it runs, where it leaves at short notice. */
  readonly leavesIn: Milliseconds | undefined;
  /** Grows with each record that the endpoint writes. */
  readonly sequence: number;
}

/** One change of the published picture. */
export type CatalogueChange =
  | { readonly kind: "document"; readonly document: RoutingDocument }
  | { readonly kind: "endpoint"; readonly record: EndpointRecord }
  | { readonly kind: "endpointRemoved"; readonly id: EndpointId }
  /** Nothing more may be sent to endpoints of the zone. */
  | { readonly kind: "evacuated"; readonly zone: ZoneId }
  | { readonly kind: "evacuationEnded"; readonly zone: ZoneId };

/** The whole published picture as of one revision. */
export interface CatalogueSnapshot {
  readonly revision: Revision;
  /** `undefined` before the operators' first document. */
  readonly document: RoutingDocument | undefined;
  readonly endpoints: readonly EndpointRecord[];
  readonly evacuated: readonly ZoneId[];
}

/** Changes up to a revision, in order. */
export interface CatalogueChanges {
  readonly revision: Revision;
  readonly changes: readonly CatalogueChange[];
}
