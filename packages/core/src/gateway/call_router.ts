/**
 * Routing decisions: whether a request goes to an endpoint of this region, to an entry of another region, or
 * waits.
 *
 * @module
 */
import {
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type RegionId,
  sample,
  type ServiceId,
} from "../ids/index.ts";
import { type FleetController, NO_RETURN_MS } from "../fleet/index.ts";
import type { EarlyRelay, RelayQuestion } from "../outlook/index.ts";
import type { StreamOrigin } from "../stream_origins/index.ts";
import type { Call } from "./call.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  type ChosenEndpoint,
  LocalPlacement,
  type LocalPlacementSources,
  type QueueAhead,
  type WaitReason,
} from "./local_placement.ts";
import type { CallTarget, Prompt } from "./messages.ts";
import {
  findPrefixHolder,
  MIN_FETCH_TOKENS,
  sharedParts,
} from "./endpoint_placement.ts";
import type { RegionController, RegionView } from "./region_controller.ts";
import type { ServingSet } from "./serving_set.ts";
import { chooseSubjectRegion, type RegionCandidate } from "./subject_region.ts";
import { waitLimit } from "./wait_limit.ts";

/** Cost of relaying a request to another region and back. Shorter waits are not worth it. */
const RELAY_COST_MS = 200;
/** A region with a higher utilization gets no requests that can wait in their own region. */
const MAX_REMOTE_UTILIZATION = 0.8;
const MS_PER_SECOND = 1_000;
/** Urgency in an engine's queue, from 0 (first) to 9 (last), by request rank. The most urgent values are unused. */
const URGENCY_BY_RANK = [2, 5, 7] as const;
const LATE_URGENCY = 8;
/** Fraction of an endpoint's connections that all entries of the region may use together. */
const CONNECTION_FRACTION = 0.8;
/**
 * How long a region that declined a request gets no further requests of that service. Its load summary may be this
 * old, so that it does not show the missing capacity yet.
 */
const DECLINE_BACKOFF_MS = 400;
/** How long a request waits for published endpoints that cannot be used at present, until more is known about them. */
const UNAVAILABLE_WAIT_MS = 100;

/** Where a request goes next. */
export type RoutingDecision =
  | { readonly kind: "endpoint"; readonly placement: ChosenEndpoint }
  | {
    readonly kind: "peer";
    readonly incarnation: Incarnation;
    readonly region: RegionId;
    readonly address: string;
  }
  | {
    readonly kind: "wait";
    readonly wait: Milliseconds;
    readonly reason: WaitReason;
  }
  | { readonly kind: "none" };

/** Dependencies of `CallRouter`. */
export interface RouterSources extends LocalPlacementSources {
  readonly regions: RegionController;
  readonly serving: ServingSet;
  readonly earlyRelay: EarlyRelay;
  readonly random: Randomness;
}

/** Decides where each request goes next. */
export class CallRouter {
  readonly #sources: RouterSources;
  /** When a region last declined a request, by region, service and the version that the request is bound to. */
  readonly #declined = new Map<string, Instant>();

  /** Peers that do not accept relayed resumptions. */
  readonly #withoutResumptions = new Set<Incarnation>();
  readonly #places: LocalPlacement;

  constructor(sources: RouterSources) {
    this.#sources = sources;
    this.#places = new LocalPlacement(sources);
  }

  /** Returns where a request goes next. */
  next(call: Call, ahead: QueueAhead, now: Instant): RoutingDecision {
    const { self } = this.#sources;
    const home = call.mayServe(self.region);
    const mayRelay = call.head.relay === undefined;
    const elsewhere = home && mayRelay
      ? this.#relayBySubject(call, now)
      : undefined;
    if (elsewhere !== undefined) {
      return elsewhere;
    }
    const local = home
      ? this.#places.find(call, { ahead, now })
      : { kind: "none" as const };
    if (local.kind === "chosen") {
      return { kind: "endpoint", placement: local };
    }
    if (local.kind === "none") {
      return (mayRelay && this.#bestPeer(call, Infinity, now)) ||
        this.#waitForEndpoints(call, now);
    }
    const { wait, reason } = local;
    const early = mayRelay ? this.#relayEarly(call, wait, now) : undefined;
    if (early !== undefined) {
      return early;
    }
    const expected = Math.max(ahead.wait, wait);
    const remote = mayRelay && expected > RELAY_COST_MS
      ? this.#bestPeer(call, expected, now)
      : undefined;
    return remote ?? { kind: "wait", wait, reason };
  }

  /** Returns a relay to a region that begins the request in time, where this one would not. */
  #relayEarly(
    call: Call,
    localWait: Milliseconds,
    now: Instant,
  ): RoutingDecision | undefined {
    const { earlyRelay } = this.#sources;
    const { prompt } = call.head;
    if (!earlyRelay.isOn || prompt === undefined) {
      return undefined;
    }
    const question = this.#relayQuestion(call, { prompt, localWait }, now);
    const choice = earlyRelay.choose(question, now);
    const decision = choice && this.#entryIn(choice.region, call, now);
    if (choice !== undefined && decision !== undefined) {
      earlyRelay.record(question, choice, now);
    }
    return decision;
  }

  #relayQuestion(
    call: Call,
    { prompt, localWait }: { prompt: Prompt; localWait: Milliseconds },
    now: Instant,
  ): RelayQuestion {
    const parts = sharedParts(prompt);
    return {
      service: call.services[0]!,
      rank: call.rank,
      waited: milliseconds(now - call.arrivedAt),
      objective: call.route.objective,
      patience: milliseconds(waitLimit(call.endsAt - now)),
      localWait,
      promptTokens: prompt.promptTokens,
      uncachedTokens: call.uncachedTokens,
      sharedTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
      subject: parts[parts.length - 1]?.id,
      regions: this.#openRegions(call, now).map(({ region }) => region),
      entries: 1 + this.#sources.endpoints.busyPeerCount(),
    };
  }

  /**
   * Returns a relay to the region that prefills the prompt's subject, its last shared part, for all regions.
   * Returns `undefined` if that is this region, or if a relay is not worth it or not possible.
   */
  #relayBySubject(call: Call, now: Instant): RoutingDecision | undefined {
    const { prompt } = call.head;
    const parts = prompt === undefined ? [] : sharedParts(prompt);
    const subject = parts[parts.length - 1];
    const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    const first = call.attempts === 0 && subject !== undefined;
    if (!first || tokens < MIN_FETCH_TOKENS) {
      return undefined;
    }
    const others = this.#openRegions(call, now).map(subjectView);
    if (
      others.every(({ engines }) => engines === 0) ||
      tokens - this.#cachedTokens(call, now) < MIN_FETCH_TOKENS
    ) {
      return undefined;
    }
    const { self, regions } = this.#sources;
    const load = regions.recentLoad(call.services[0]!, now);
    const own = subjectView({ region: self.region, load });
    const region = own.engines === 0
      ? undefined
      : chooseSubjectRegion(subject.id, own, others);
    return region === undefined ? undefined : this.#entryIn(region, call, now);
  }

  /** Returns how many shared tokens of the prompt an engine of this region has cached. */
  #cachedTokens({ head, services }: Call, now: Instant): number {
    const { endpoints } = this.#sources;
    const usable = endpoints.ofService(services[0]!).filter((state) =>
      endpoints.accepts(state, now)
    );
    return findPrefixHolder(head.prompt, usable)?.tokens ?? 0;
  }

  /** Records that a peer does not accept relayed resumptions. */
  noteUnsupported(peer: Incarnation): void {
    this.#withoutResumptions.add(peer);
  }

  /** Records that a region had no capacity for a relayed request. */
  noteDeclined(call: Call, region: RegionId, now: Instant): void {
    this.#declined.set(declineKey(call, region), now);
    if (call.attempts === 1) {
      const { regions } = this.#sources;
      regions.recordDeclined(call.services[0]!, call.head.prompt, now);
    }
  }

  /**
   * Waits where endpoints are published but cannot be used at present: suspects that may answer again, or cold
   * ones that another entry warms up. Callers that are refused at once retry only once, and are refused again for
   * the same reason. A relayed request is declined instead, because its first entry has more alternatives. Where all
   * regions with endpoints have said that theirs want no requests for a time, the request is refused with that time.
   */
  #waitForEndpoints(call: Call, now: Instant): RoutingDecision {
    if (call.head.relay !== undefined || call.offered > 0) {
      return { kind: "none" };
    }
    const openings = call.services.flatMap((service) =>
      this.#earliestOpening(call, service, now) ?? []
    );
    const wait = Math.min(...openings);
    if (wait === 0) {
      return {
        kind: "wait",
        wait: milliseconds(UNAVAILABLE_WAIT_MS),
        reason: "busy",
      };
    }
    return wait < NO_RETURN_MS
      ? { kind: "wait", wait: milliseconds(wait), reason: "resting" }
      : { kind: "none" };
  }

  /** Time until a region that may serve the request accepts work, `undefined` if none has an endpoint. */
  #earliestOpening(
    call: Call,
    service: ServiceId,
    now: Instant,
  ): Milliseconds | undefined {
    const { endpoints, regions, fleet, self } = this.#sources;
    const versionRegions = call.origin && endpoints.regionsOf(call.origin);
    return endpoints.earliestOpening(service, (region) => {
      if (
        !call.mayServe(region) || versionRegions?.has(region) === false
      ) {
        return undefined;
      }
      return region === self.region
        ? milliseconds(0)
        : regions.closedFor(service, { region, fleet }, now);
    });
  }

  /** Whether an endpoint of an origin is published in a region that may serve the request. */
  isServed(call: Call, origin: StreamOrigin): boolean {
    const regions = this.#sources.endpoints.regionsOf(origin);
    return [...regions].some((region) => call.mayServe(region));
  }

  /** Returns whether an endpoint may still get a request that was assigned to it. */
  isStillEligible(call: Call, state: EndpointState, now: Instant): boolean {
    const { endpoints } = this.#sources;
    return endpoints.isInService(state) &&
      endpoints.backoffOf(state, now) === 0 &&
      this.#places.allowsWhileCold(state, now) &&
      call.services.includes(state.record.service) &&
      call.acceptsSoftware(state.record);
  }

  /** Describes an endpoint for the daemon, which connects to it and sends the request. */
  targetOf(
    call: Call,
    { state, fetchFrom }: ChosenEndpoint,
    now: Instant,
  ): CallTarget {
    const { fleet, self } = this.#sources;
    const entries = 1 + fleet.derive(countPossiblyLive, self.region);
    const connections = (state.service?.connectionLimit ?? entries) *
      CONNECTION_FRACTION / entries;
    return {
      kind: "endpoint",
      endpoint: state.record.id,
      address: state.record.address,
      connections: Math.max(1, Math.floor(connections)),
      urgency: state.service?.engine === undefined
        ? undefined
        : urgencyOf(call, now),
      prefixFrom: fetchFrom?.record.address,
    };
  }

  /**
   * Returns a relay to the least utilized region that has capacity and is expected to serve the request sooner than
   * `localWait`. If `localWait` is `Infinity`, every region with endpoints for the request qualifies.
   */
  #bestPeer(
    call: Call,
    localWait: number,
    now: Instant,
  ): RoutingDecision | undefined {
    const candidates = this.#openRegions(call, now);
    const mustRelay = localWait === Infinity;
    const useful = candidates.filter((view) =>
      mustRelay
        ? (view.load?.endpoints ?? 0) > 0
        : utilization(view) < MAX_REMOTE_UTILIZATION &&
          (view.load?.backlog ?? 0) + RELAY_COST_MS < localWait
    );
    const best =
      useful.sort((left, right) => utilization(left) - utilization(right))[0];
    return best === undefined
      ? undefined
      : this.#entryIn(best.region, call, now);
  }

  /**
   * Other regions that may serve a request and did not decline one of its service lately. A stream that has begun needs
   * an endpoint of its software version there.
   */
  #openRegions(call: Call, now: Instant): RegionView[] {
    const { endpoints, fleet, regions, self } = this.#sources;
    const [service] = call.services;
    const versionRegions = call.origin && endpoints.regionsOf(call.origin);
    return regions.otherRegions(service!, fleet, now).filter(({ region }) =>
      call.mayServe(region) && region !== self.region &&
      versionRegions?.has(region) !== false &&
      now - (this.#declined.get(declineKey(call, region)) ?? -Infinity) >=
        DECLINE_BACKOFF_MS
    );
  }

  #entryIn(
    region: RegionId,
    call: Call,
    now: Instant,
  ): RoutingDecision | undefined {
    const { serving, random } = this.#sources;
    const candidates = serving.of(region, now).filter(({ incarnation }) =>
      call.origin === undefined || !this.#withoutResumptions.has(incarnation)
    );
    const [picked] = sample(candidates, 1, random);
    if (picked === undefined || call.attempts >= MAX_ATTEMPTS) {
      return undefined;
    }
    const { incarnation, peerAddress } = picked;
    return { kind: "peer", incarnation, region, address: peerAddress };
  }
}

/** Attempts of one request, including those whose connection failed. */
export const MAX_ATTEMPTS = 6;

/** A region without an endpoint of one version may have others, so that requests of any version still go there. */
function declineKey({ services, origin }: Call, region: RegionId): string {
  return `${region} ${services[0]} ${origin?.version ?? ""}`;
}

/** Number of other entries of a region that may be alive. */
function countPossiblyLive(region: RegionId, fleet: FleetController): number {
  return fleet.possiblyLiveMembers().filter(({ record }) =>
    record.region === region
  ).length;
}

/** Requested fraction of a region's capacity. */
function utilization({ load }: RegionView): number {
  return load === undefined || load.endpoints === 0
    ? Infinity
    : load.work / (load.endpoints * MS_PER_SECOND);
}

function subjectView(view: RegionView): RegionCandidate {
  return {
    region: view.region,
    engines: view.load?.endpoints ?? 0,
    utilization: utilization(view),
  };
}

/** Urgency for the engine's queue: requests that can still meet their objective go before late ones. */
function urgencyOf(call: Call, now: Instant): number {
  if (call.isLate(now)) {
    return LATE_URGENCY;
  }
  const rank = Math.min(call.rank, URGENCY_BY_RANK.length - 1);
  return URGENCY_BY_RANK[rank]!;
}
