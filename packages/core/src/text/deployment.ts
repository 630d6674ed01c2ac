/**
 * The operators' picture, as parsed from an accepted text.
 *
 * @module
 */
import type {
  CustomerId,
  Milliseconds,
  RegionId,
  RouteName,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { Customer } from "../customers/index.ts";
import type { Route } from "../routes/index.ts";

/** What the deployment weighs most. */
export type Objective = "tail" | "cost";

/** Class of a request: a person waits at a screen, or a summary may take its time. */
export type RequestClass = "screen" | "summary";

/** Classes in order of priority, first served first. */
export const REQUEST_CLASSES: readonly RequestClass[] = ["screen", "summary"];

/** A region and its availability zones. */
export interface Region {
  readonly id: RegionId;
  readonly zones: readonly ZoneId[];
}

interface ServiceBase {
  readonly id: ServiceId;
  readonly regions: readonly RegionId[];
  readonly dependsOn: readonly ServiceId[];
  readonly deadline: Milliseconds;
  readonly defaultClass: RequestClass;
  /** Requests that may wait at one entry. */
  readonly queueLimit: number;
}

/** A service of model engines. */
export interface ModelService extends ServiceBase {
  readonly kind: "model";
  readonly model: string;
  /** Engines come from this pool of VMs; several services may share one. */
  readonly pool: string;
  /** Weight when a pool's engines are divided among models. */
  readonly share: number;
}

/** A plain HTTP service. */
export interface PlainService extends ServiceBase {
  readonly kind: "plain";
  /** Whether a second run of the same call does harm. */
  readonly repeatable: boolean;
  /** Statuses by which an endpoint says, as its contract, that the call did not run. */
  readonly notRunStatuses: readonly number[];
}

/** Any service of the text. */
export type Service = ModelService | PlainService;

/** A customer of the text, whose keys are the tokens that its callers show. */
export interface HomedCustomer extends Customer {
  readonly home: RegionId;
  /** Whether requests and data must stay in the home region. */
  readonly bound: boolean;
  readonly classes: readonly RequestClass[];
}

/** Everything that one accepted text says. */
export interface Deployment {
  readonly name: string;
  readonly objective: Objective;
  /** Largest share of a region's requests that may be sent to others, 0 to 1. */
  readonly spillLimit: number;
  /** Loads that a zone may start in a minute, from the weight store's rate. */
  readonly loadsPerMinute: number;
  readonly regions: ReadonlyMap<RegionId, Region>;
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly customers: ReadonlyMap<CustomerId, HomedCustomer>;
  /** Hosts and paths that are passed through to services as they are. */
  readonly routes: ReadonlyMap<RouteName, Route>;
  readonly customerByDigest: ReadonlyMap<string, HomedCustomer>;
}
