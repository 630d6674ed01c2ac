/**
 * Routes: which service answers a host and path, and what its requests are allowed.
 *
 * @module
 */
import type { Customer } from "../customers/index.ts";
import type {
  CustomerId,
  Milliseconds,
  RegionId,
  Revision,
  RouteName,
  ServiceId,
} from "../ids/index.ts";

/** What may be repeated: anything, nothing, or a stream of events (see {@link Route.resumable}). */
export type RouteKind = "idempotent" | "non_idempotent" | "stream";

/** One service of a route, with its part of the requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share relative to the other targets of the route, above 0. */
  readonly weight: number;
}

/** One route. */
export interface Route {
  readonly name: RouteName;
  /** Host that callers name, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Endpoints that may run one request, 1 or more. */
  readonly attempts: number;
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeout: Milliseconds;
  /** Time to the answer, or to a stream's first event, within which it is worth most. */
  readonly objective: Milliseconds;
  /** Longest pause between two events of a stream that is still on time. */
  readonly pauseObjective: Milliseconds | undefined;
  /** Rank, 0 first. */
  readonly priority: number;
  /** Regions in which requests must stay; empty where they may be served anywhere. */
  readonly homes: readonly RegionId[];
  /** Whether requests share prompt prefixes, so that the choice of an engine should keep to them. */
  readonly sticky: boolean;
  /** Whether its requests need no key, and belong to no customer. */
  readonly public: boolean;
  /** Whether an interrupted stream may go on at another endpoint. */
  readonly resumable: boolean;
}

/** What is published of a model engine of a service. */
export interface EngineProfile {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens that running requests and cached prefixes share. */
  readonly cacheTokens: number;
  /** Whether an engine can fetch a cached prefix from another. */
  readonly fetches: boolean;
}

/** One service that routes name. */
export interface RoutedService {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all entries together. */
  readonly connectionLimit: number;
  /** Requests a second that a cold endpoint bears, all entries together; 0 where none turns cold. */
  readonly coldRate: number;
  /** How long an endpoint stays cold after its start. */
  readonly coldPeriod: Milliseconds;
  readonly engine: EngineProfile | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time to send a whole request head. */
  readonly headerTime: Milliseconds;
  /** Time that a kept connection may stay idle. */
  readonly idleTime: Milliseconds;
}

/** Everything that one revision of the operators' document says of routes. */
export interface RoutingDocument {
  readonly version: Revision;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, RoutedService>;
  /** Empty where requests are from nobody in particular. */
  readonly customers: ReadonlyMap<CustomerId, Customer>;
  readonly limits: CallerLimits;
}

/** Whether a second run of the same request does no harm. */
export function mayRepeat(route: Route): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "stream" && route.resumable);
}

/** Whether a route's requests may be served in a region. */
export function mayServe(route: Route, region: RegionId): boolean {
  return route.homes.length === 0 || route.homes.includes(region);
}
