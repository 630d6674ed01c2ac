/**
 * What an endpoint says of itself in the platform's records.
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

/** One endpoint as it told of itself. It may start again under its id; `life` tells its lives apart. */
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
  /** `undefined` where the endpoint does not tell: then its counter alone orders its records. */
  readonly life: EndpointLife | undefined;
  /** Grows with each record that the endpoint writes, and starts anew with each life. */
  readonly sequence: number;
}

/** Whether two records are of the same life of an endpoint. */
export function isSameLife(
  left: Pick<EndpointRecord, "life">,
  right: Pick<EndpointRecord, "life">,
): boolean {
  return left.life === right.life;
}

/**
 * Whether a record takes the place of another one of the same id.
 *
 * The life decides, whatever the counters say: those start anew with it. An endpoint that tells its life
 * always does, so that a record without one is another writer's, or is from before it told.
 */
export function supersedes(
  news: Pick<EndpointRecord, "life" | "sequence">,
  known: Pick<EndpointRecord, "life" | "sequence">,
): boolean {
  if (isSameLife(news, known)) {
    return news.sequence >= known.sequence;
  }
  return (news.life ?? -Infinity) > (known.life ?? -Infinity);
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
  /** Whose revision it is, `undefined` where the source does not state it. */
  readonly epoch?: CatalogueEpoch | undefined;
  readonly revision: Revision;
  /** `undefined` before the operators' first document. */
  readonly document: RoutingDocument | undefined;
  readonly endpoints: readonly EndpointRecord[];
  readonly evacuated: readonly ZoneId[];
}

/** Changes up to a revision, in order. */
export interface CatalogueChanges {
  /** Whose revision it is, `undefined` where the source does not state it. */
  readonly epoch?: CatalogueEpoch | undefined;
  readonly revision: Revision;
  readonly changes: readonly CatalogueChange[];
}
