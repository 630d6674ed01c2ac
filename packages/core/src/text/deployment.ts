/**
 * The deployment that operators configure, as parsed from a valid configuration text.
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

/** What the deployment optimizes for: tail latency or cost. */
export type Objective = "tail" | "cost";

/** Class of a request: `screen` if a person waits for the answer, `summary` if it is not urgent. */
export type RequestClass = "screen" | "summary";

/** All request classes, highest priority first. */
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
  /** Largest number of requests that may wait at one entry. */
  readonly queueLimit: number;
}

/** A service that model engines provide. */
export interface ModelService extends ServiceBase {
  readonly kind: "model";
  readonly model: string;
  /** Pool of VMs that runs the engines. Several services may share one. */
  readonly pool: string;
  /** Weight of the model when a pool's engines are divided among models. */
  readonly share: number;
}

/** A plain HTTP service. */
export interface PlainService extends ServiceBase {
  readonly kind: "plain";
  /** Whether the same call may run a second time without harm. */
  readonly repeatable: boolean;
  /** Statuses that, by contract, an endpoint returns only if the call did not run. */
  readonly notRunStatuses: readonly number[];
}

/** A service of either kind. */
export type Service = ModelService | PlainService;

/** A customer of the configuration text. Its keys are the tokens that its callers present. */
export interface ConfiguredCustomer extends Customer {
  readonly home: RegionId;
  /** Whether requests and data must stay in the home region. */
  readonly bound: boolean;
  readonly classes: readonly RequestClass[];
}

/** The content of a valid configuration text. */
export interface Deployment {
  readonly name: string;
  readonly objective: Objective;
  /** Largest fraction of a region's requests that may be sent to other regions, 0 to 1. */
  readonly spillLimit: number;
  /** Model loads that a zone may start per minute, limited by the throughput of the weight store. */
  readonly loadsPerMinute: number;
  readonly regions: ReadonlyMap<RegionId, Region>;
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly customers: ReadonlyMap<CustomerId, ConfiguredCustomer>;
  /** Hosts and paths whose requests are passed through to services unchanged. */
  readonly routes: ReadonlyMap<RouteName, Route>;
  readonly customerByDigest: ReadonlyMap<string, ConfiguredCustomer>;
}
