/**
 * Routes: the services that answer a host and path, and the rules for their requests.
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

/** Whether requests may be repeated: always, never, or as a stream of events (see {@link Route.resumable}). */
export type RouteKind = "idempotent" | "non_idempotent" | "stream";

/** A service of a route, with its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share relative to the other targets of the route, above 0. */
  readonly weight: number;
}

/** Assigns requests for a host and path prefix to services, with the rules for these requests. */
export interface Route {
  readonly name: RouteName;
  /** Host of the requests, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints that may run one request, at least 1. */
  readonly attempts: number;
  /** Maximum time until the whole answer. */
  readonly timeout: Milliseconds;
  /** Target time to the answer, or to a stream's first event; a later answer has less value. */
  readonly objective: Milliseconds;
  /** Target for the longest pause between two events of a stream. */
  readonly pauseObjective: Milliseconds | undefined;
  /** Priority rank, 0 comes first. */
  readonly priority: number;
  /** Regions in which requests must be served; empty if they may be served anywhere. */
  readonly homes: readonly RegionId[];
  /** Whether requests share prompt prefixes, so that they should go to engines that have these cached. */
  readonly sticky: boolean;
  /** Whether requests need no key and belong to no customer. */
  readonly public: boolean;
  /** Whether an interrupted stream may be resumed at another endpoint. */
  readonly resumable: boolean;
}

/** Published properties of a service's model engines. */
export interface EngineProfile {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Cache capacity in tokens, shared by running requests and cached prefixes. */
  readonly cacheTokens: number;
  /** Whether an engine can fetch a cached prefix from another engine. */
  readonly fetches: boolean;
}

/** A service that routes refer to. */
export interface RoutedService {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Maximum number of connections to one endpoint from all entries together. */
  readonly connectionLimit: number;
  /** Requests per second that a cold endpoint can take from all entries together; 0 if none is ever cold. */
  readonly coldRate: number;
  /** How long an endpoint is cold after its start. */
  readonly coldPeriod: Milliseconds;
  readonly engine: EngineProfile | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time to send the whole request head. */
  readonly headerTime: Milliseconds;
  /** Maximum time that a kept-alive connection may be idle. */
  readonly idleTime: Milliseconds;
}

/** One version of the operators' routing configuration. */
export interface RoutingDocument {
  readonly version: Revision;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, RoutedService>;
  /** Empty if requests are not attributed to customers. */
  readonly customers: ReadonlyMap<CustomerId, Customer>;
  readonly limits: CallerLimits;
}

/** Whether a request may safely run twice. */
export function mayRepeat(route: Route): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "stream" && route.resumable);
}

/** Whether a route's requests may be served in a region. */
export function mayServe(route: Route, region: RegionId): boolean {
  return route.homes.length === 0 || route.homes.includes(region);
}
