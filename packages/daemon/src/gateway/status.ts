/**
 * What operators see of an entry.
 *
 * @module
 */
import {
  catalogueAge,
  type Gateway,
  type HoldNotice,
  type Instant,
} from "@sassafrasstep/core";

/** State of one entry. */
export interface GatewayStatus {
  readonly id: string;
  readonly incarnation: string;
  readonly region: string;
  readonly zone: string;
  readonly state: string;
  readonly documentVersion: number;
  readonly catalogueRevision: number;
  /** Of that revision: it rises each time the platform is restored from a copy. */
  readonly catalogueEpoch: number;
  /** Since the platform last answered. */
  readonly catalogueAgeMs?: number | undefined;
  readonly requests: number;
  readonly queued: number;
  readonly members: readonly MemberLine[];
  readonly endpoints: readonly EndpointLine[];
  readonly shares: readonly { region: string; share: number }[];
  /** Requests that go to no endpoint, as they have ended some. */
  readonly held: readonly HeldLine[];
}

/** A request that is held back. */
export interface HeldLine {
  readonly digest: string;
  /** Digest of its only caller, where it has one. */
  readonly caller?: string | undefined;
  readonly service: string;
  /** Software of the endpoints that ended under it. */
  readonly versions: readonly string[];
  readonly term: number;
  readonly remainingMs: number;
}

/** Another entry. */
export interface MemberLine {
  readonly id: string;
  readonly region: string;
  readonly state: string;
}

/** An endpoint of the region. */
export interface EndpointLine {
  readonly id: string;
  readonly service: string;
  readonly state: string;
  readonly usable: boolean;
  readonly cold: boolean;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly failureRate: number;
  /** Whether it said itself that it leaves. */
  readonly leaving?: boolean | undefined;
  /** Requests a second that it takes from all entries together. */
  readonly limitPerSecond?: number | undefined;
}

/** Collects the status. */
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
    })),
    shares: regions.shares.map(({ region, share }) => ({ region, share })),
    held: gateway.quarantine.holds.list(now).map(heldLine),
  };
}

function heldLine(
  { content, caller, service, versions, term, remaining }: HoldNotice,
): HeldLine {
  return {
    digest: content,
    caller,
    service,
    versions,
    term,
    remainingMs: Math.round(remaining),
  };
}
