/**
 * Status report of an entry for operators.
 *
 * @module
 */
import {
  catalogueAge,
  type Gateway,
  type HoldNotice,
  type Instant,
} from "@sassafrasstep/core";

/** Status of an entry. */
export interface GatewayStatus {
  readonly id: string;
  readonly incarnation: string;
  readonly region: string;
  readonly zone: string;
  readonly state: string;
  readonly documentVersion: number;
  readonly catalogueRevision: number;
  /** Epoch of `catalogueRevision`. Increases each time the platform is restored from a backup. */
  readonly catalogueEpoch: number;
  /** Time since the platform last answered. */
  readonly catalogueAgeMs?: number | undefined;
  readonly requests: number;
  readonly queued: number;
  readonly members: readonly MemberStatus[];
  readonly endpoints: readonly EndpointStatus[];
  readonly shares: readonly { region: string; share: number }[];
  /** How requests with prompts ended since the start, by route and size. */
  readonly sizes?: readonly SizeStatus[] | undefined;
  /** Optional decisions in use. */
  readonly features?: readonly string[] | undefined;
  /** Quarantined requests: they are sent to no endpoint because some endpoints crashed while running them. */
  readonly held: readonly HeldRequestStatus[];
}

/** How the requests of one route and range of sizes ended. */
export interface SizeStatus {
  readonly route: string;
  /** Tokens of the prompt, or events of the answer. */
  readonly measure: "prompt" | "events";
  /** Upper end of the range. */
  readonly upTo: number;
  readonly complete: number;
  readonly unfinished: number;
  readonly unserved: number;
}

/** A quarantined request, or a part of prompts that quarantines all requests with it. */
export interface HeldRequestStatus {
  readonly digest: string;
  /** Digest of the caller, if only one caller sent the request. */
  readonly caller?: string | undefined;
  readonly service: string;
  /** Software versions of the endpoints that crashed while running it. */
  readonly versions: readonly string[];
  readonly term: number;
  readonly remainingMs: number;
}

/** Another entry that is considered live. */
export interface MemberStatus {
  readonly id: string;
  readonly region: string;
  readonly state: string;
}

/** An endpoint of the region. */
export interface EndpointStatus {
  readonly id: string;
  readonly service: string;
  readonly state: string;
  readonly usable: boolean;
  readonly cold: boolean;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly failureRate: number;
  /** Whether the endpoint announced that it is shutting down. */
  readonly leaving?: boolean | undefined;
  /** Requests per second that the endpoint accepts from all entries together. */
  readonly limitPerSecond?: number | undefined;
  /** Duration of work at present, relative to the usual one, 1 where the pace is not in use. */
  readonly slowdown?: number | undefined;
}

/** Collects the status of an entry. */
export function reportGateway(gateway: Gateway, now: Instant): GatewayStatus {
  const { self, fleet, catalogue, endpoints, calls, regions } = gateway;
  return {
    id: self.id,
    incarnation: self.incarnation,
    region: self.region,
    zone: self.zone,
    state: fleet.record.state,
    documentVersion: catalogue.document?.version ?? 0,
    catalogueRevision: catalogue.position.revision,
    catalogueEpoch: catalogue.position.epoch,
    catalogueAgeMs: catalogueAge(catalogue, now),
    requests: calls.active,
    queued: calls.queued,
    members: fleet.liveMembers().map(({ record: { id, region, state } }) => ({
      id,
      region,
      state,
    })),
    endpoints: [...endpoints.all()].map((state) => ({
      id: state.record.id,
      service: state.record.service,
      state: state.record.state,
      usable: endpoints.accepts(state, now),
      cold: state.isCold(now),
      requests: state.requests,
      prefillTokens: state.prefill,
      failureRate: state.health.failureRate,
      leaving: gateway.endpointTerms.departures.has(state.record),
      limitPerSecond: gateway.endpointTerms.limits.limitOf(state.record),
      slowdown: roundSlowdown(state.pace.slowdown(now)),
    })),
    shares: regions.shares.map(({ region, share }) => ({ region, share })),
    sizes: calls.sizeOutcomes,
    features: gateway.features.active,
    held: gateway.quarantine.holds.list(now).map(heldRequestStatus),
  };
}

function roundSlowdown(slowdown: number): number {
  return Math.round(slowdown * 100) / 100;
}

function heldRequestStatus(
  { subject, caller, service, versions, term, remaining }: HoldNotice,
): HeldRequestStatus {
  return {
    digest: subject,
    caller,
    service,
    versions,
    term,
    remainingMs: Math.round(remaining),
  };
}
