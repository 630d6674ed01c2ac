/**
 * Branded identifiers and units of time.
 * A brand keeps two strings or two numbers of different meaning from being mixed up.
 *
 * @module
 */

declare const BRAND: unique symbol;
type Branded<Base, Name extends string> = Base & { readonly [BRAND]: Name };

/** A point on one process's own monotonic clock, in milliseconds. Never sent to another process. */
export type Instant = Branded<number, "Instant">;
/** A duration in milliseconds. The only form of time that crosses processes. */
export type Milliseconds = Branded<number, "Milliseconds">;

/** Name of an entry from its settings; a replaced VM may keep it. */
export type EntryId = Branded<string, "EntryId">;
/** One life of one entry process, random at its start. */
export type Incarnation = Branded<string, "Incarnation">;
/** Platform's name for one endpoint VM's life; a replaced VM has another. */
export type EndpointId = Branded<string, "EndpointId">;
/** Name of a region in the operators' text. */
export type RegionId = Branded<string, "RegionId">;
/** Name of an availability zone, unique across regions. */
export type ZoneId = Branded<string, "ZoneId">;
/** Name of a customer in the operators' text. */
export type CustomerId = Branded<string, "CustomerId">;
/** Digest of a key by which a customer names itself. Never the key. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** Name of a service in the operators' text. */
export type ServiceId = Branded<string, "ServiceId">;
/** One request as received by one entry. */
export type RequestId = Branded<string, "RequestId">;
/** Name of a route in the routing document. */
export type RouteName = Branded<string, "RouteName">;
/** Identifier that a caller gives to one try of its own; endpoints repeat it in their answers. */
export type CallId = Branded<string, "CallId">;
/** One try of a request at one endpoint or peer. */
export type AttemptId = Branded<string, "AttemptId">;
/**
 * One life of an endpoint: a larger one began later. Read from the endpoint's own clock, so that only
 * lives under one id can be compared.
 */
export type EndpointLife = Branded<number, "EndpointLife">;

/** Digest of what a request asks for: host, path and body. The same for each repeat of it. */
export type ContentDigest = Branded<string, "ContentDigest">;
/** Digest of who sends a request, as far as entries can tell. */
export type CallerDigest = Branded<string, "CallerDigest">;

/** Revision of the operators' text, counted by the configuration service. */
export type Revision = Branded<number, "Revision">;
/**
 * One life of the counter of catalogue revisions. It rises each time the catalogue is restored from a copy:
 * revisions after that one are given out again.
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
