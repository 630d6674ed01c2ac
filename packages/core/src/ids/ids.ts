/**
 * Branded identifiers and units of time.
 * The brands let the compiler reject a string or number that is used with the wrong meaning.
 *
 * @module
 */

declare const BRAND: unique symbol;
type Branded<Base, Name extends string> = Base & { readonly [BRAND]: Name };

/** A point on one process's own monotonic clock, in milliseconds. Never sent to another process. */
export type Instant = Branded<number, "Instant">;
/** A duration in milliseconds. The only form of time that crosses processes. */
export type Milliseconds = Branded<number, "Milliseconds">;

/** Name of an entry (a gateway process) from its settings. The replacement of a VM may reuse it. */
export type EntryId = Branded<string, "EntryId">;
/** Random identifier of one run of an entry process, drawn when it starts. */
export type Incarnation = Branded<string, "Incarnation">;
/** The platform's name for an endpoint VM. The replacement of a VM has another one. */
export type EndpointId = Branded<string, "EndpointId">;
/** Name of a region in the operators' configuration. */
export type RegionId = Branded<string, "RegionId">;
/** Name of an availability zone, unique across regions. */
export type ZoneId = Branded<string, "ZoneId">;
/** Name of a customer in the operators' configuration. */
export type CustomerId = Branded<string, "CustomerId">;
/** Digest of a key by which a customer identifies itself, never the key itself. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** Name of a service in the operators' configuration. */
export type ServiceId = Branded<string, "ServiceId">;
/** One request as received by one entry. */
export type RequestId = Branded<string, "RequestId">;
/** Name of a route in the routing document. */
export type RouteName = Branded<string, "RouteName">;
/** Identifier that a caller assigns to one of its own tries. Endpoints repeat it in their answers. */
export type CallId = Branded<string, "CallId">;
/** Identifies a stream by the call that began it. */
export type StreamKey = Branded<string, "StreamKey">;
/** One attempt to run a request at an endpoint or through a peer. */
export type AttemptId = Branded<string, "AttemptId">;
/**
 * One life of an endpoint, that is, the time from one of its starts to the next. A larger value began later.
 * It is read from the endpoint's own clock, so only lives of the same endpoint id can be compared.
 */
export type EndpointLife = Branded<number, "EndpointLife">;

/** Digest of a request's host, path and body, the same for each repeat of the request. */
export type ContentDigest = Branded<string, "ContentDigest">;
/** Identifies a part of prompts that several requests may share. */
export type PartDigest = Branded<string, "PartDigest">;
/** Digest that identifies the sender of a request, as far as entries can tell. */
export type CallerDigest = Branded<string, "CallerDigest">;

/** Revision that the configuration service assigned. After a restore of the service, it is assigned again. */
export type ServiceRevision = Branded<number, "ServiceRevision">;
/** Revision of the operators' configuration or of the catalogue, as entries compare it. */
export type Revision = Branded<number, "Revision">;
/**
 * Epoch of the catalogue's revision counter. It increases each time the catalogue is restored from a backup,
 * because the revisions after the backup's are then assigned again.
 */
export type CatalogueEpoch = Branded<number, "CatalogueEpoch">;
/** Idempotency key as the caller sent it. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;

/** Marks a number of milliseconds as a duration. */
export function milliseconds(value: number): Milliseconds {
  return value as Milliseconds;
}

/** Marks a reading of the monotonic clock. */
export function instant(value: number): Instant {
  return value as Instant;
}

/** The instant `duration` after `from`. */
export function after(from: Instant, duration: number): Instant {
  return (from + duration) as Instant;
}
