/**
 * Finds a place for a request among the endpoints of this entry's region.
 *
 * @module
 */
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import type { FleetController } from "../fleet/index.ts";
import {
  hash32,
  type Instant,
  type Milliseconds,
  milliseconds,
  type RegionId,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { GatewayIdentity } from "./messages.ts";
import {
  chooseEndpoint,
  findPrefixHolder,
  type Placement,
  type PlacementRequest,
} from "./endpoint_placement.ts";
import { minimumServingIncarnations } from "./serving_set.ts";

const MS_PER_SECOND = 1_000;
/**
 * Maximum difference in cost between entries. Entries that choose at the same moment see the same state,
 * and the bias makes them choose different endpoints.
 */
const MAX_BIAS_MS = 15;
const UINT32_RANGE = 2 ** 32;

/** A placement with a chosen endpoint. */
export type ChosenEndpoint = Extract<Placement, { kind: "chosen" }>;

/** Why a request has to wait. */
export type WaitReason =
  | "busy"
  /** The region's endpoints are at the limits that they stated. */
  | "limited"
  /** The region's endpoints have asked for a time without requests. */
  | "resting";

/** What is queued ahead of a request. */
export interface QueueAhead {
  /** Milliseconds until the requests ahead will have been prefilled. */
  readonly wait: number;
  /**
   * Turns until this request's own, which the region's entries take one by one at endpoints with a rate
   * limit.
   */
  readonly turns: number;
}

/** A place, or why there is none yet. */
export type LocalPlace =
  | Exclude<Placement, { kind: "busy" }>
  | {
    readonly kind: "busy";
    readonly wait: Milliseconds;
    readonly reason: WaitReason;
  };

/** Dependencies of `LocalPlacement`. */
export interface LocalPlacementSources {
  readonly self: GatewayIdentity;
  readonly fleet: FleetController;
  readonly endpoints: EndpointRegistry;
  readonly cold: ColdAllowance;
  readonly terms: EndpointTerms;
}

/** Finds places for requests in this region. */
export class LocalPlacement {
  readonly #sources: LocalPlacementSources;
  readonly #biases = new WeakMap<EndpointState, number>();

  constructor(sources: LocalPlacementSources) {
    this.#sources = sources;
  }

  readonly #biasOf = (state: EndpointState): number => {
    let bias = this.#biases.get(state);
    if (bias === undefined) {
      const { incarnation } = this.#sources.self;
      const hash = hash32(`${incarnation} ${state.record.id}`);
      bias = MAX_BIAS_MS * hash / UINT32_RANGE;
      this.#biases.set(state, bias);
    }
    return bias;
  };

  /** Finds the best place for a request, or the reason why it has to wait. */
  find(
    call: Call,
    { ahead, now }: { ahead: QueueAhead; now: Instant },
  ): LocalPlace {
    const { self, endpoints } = this.#sources;
    const { prompt } = call.head;
    let busy: LocalPlace = { kind: "none" };
    for (const service of call.services) {
      const usable: EndpointState[] = [];
      for (const state of endpoints.ofService(service)) {
        if (
          endpoints.accepts(state, now) && this.allowsWhileCold(state, now) &&
          call.acceptsSoftware(state.record)
        ) {
          usable.push(state);
        }
      }
      const untriedStates = untried(call, usable);
      const holder = findPrefixHolder(prompt, usable);
      call.uncachedTokens = (prompt?.promptTokens ?? 0) - (holder?.tokens ?? 0);
      const request = {
        prompt,
        holder,
        zone: self.zone,
        endsAt: call.endsAt,
        urgent: call.rank === 0,
        biasOf: this.#biasOf,
        trial: call.isTrial,
      };
      const found = this.#placeWithinLimits(request, untriedStates, {
        ahead,
        now,
      });
      if (found.kind === "chosen") {
        return found;
      }
      busy = busy.kind === "none" ? found : busy;
    }
    return busy.kind === "none" ? this.#earliestBackoffEnd(call, now) : busy;
  }

  /**
   * If all endpoints of the region have asked for a time without requests, waits for the first to accept
   * them again.
   */
  #earliestBackoffEnd(call: Call, now: Instant): LocalPlace {
    const { endpoints } = this.#sources;
    const waits = call.services.flatMap((service) =>
      endpoints.ofService(service)
    )
      .filter((state) =>
        endpoints.isInService(state) && call.acceptsSoftware(state.record)
      )
      .map((state) => endpoints.backoffOf(state, now));
    const allBackedOff = waits.length > 0 && waits.every((wait) => wait > 0);
    return !allBackedOff ? { kind: "none" } : {
      kind: "busy",
      wait: milliseconds(Math.min(...waits)),
      reason: "resting",
    };
  }

  /** Finds a place within the limits that endpoints stated. */
  #placeWithinLimits(
    request: PlacementRequest,
    states: readonly EndpointState[],
    { ahead, now }: { ahead: QueueAhead; now: Instant },
  ): LocalPlace {
    const { limits } = this.#sources.terms;
    const best = chooseEndpoint(request, states, now);
    if (
      best.kind !== "chosen" || limits.allows(best.state.record, now)
    ) {
      return best.kind === "busy" ? { ...best, reason: "busy" } : best;
    }
    const permitted = states.filter(({ record }) =>
      limits.hasPermitOrNoLimit(record, now)
    );
    // `allows` asks for a permit, which should only be done for the endpoint that will use it. The other
    // endpoints are asked only if none is usable without a new permit.
    const allowed = permitted.length > 0
      ? permitted
      : states.filter(({ record }) => limits.allows(record, now));
    if (allowed.length > 0) {
      const found = chooseEndpoint(request, allowed, now);
      return found.kind === "busy" ? { ...found, reason: "busy" } : found;
    }
    const perSecond = states.reduce(
      (sum, { record }) => sum + (limits.limitOf(record) ?? 0),
      0,
    );
    const wait = Math.max(1, ahead.turns * MS_PER_SECOND / perSecond);
    return { kind: "busy", wait: milliseconds(wait), reason: "limited" };
  }

  /** Whether this entry may send a request to an endpoint, which is limited while the endpoint is cold. */
  allowsWhileCold(state: EndpointState, now: Instant): boolean {
    if (!state.isCold(now)) {
      return true;
    }
    if (state.restsAsCold(now)) {
      return false;
    }
    const { self, fleet, cold } = this.#sources;
    const entries = fleet.entriesThatMayExist(self.region, now) ?? Infinity;
    const heard = fleet.derive(countLive, self.region);
    return cold.allows(state, {
      self: self.incarnation,
      silent: Math.max(0, entries - 1 - heard),
      // A standby entry would have no requests for a cold endpoint that it is responsible for.
      candidates: fleet.derive(minimumServingIncarnations, self.region),
    }, now);
  }
}

/** Number of other entries of a region that are heard. */
function countLive(region: RegionId, fleet: FleetController): number {
  return fleet.liveMembers().filter(({ record }) => record.region === region)
    .length;
}

/**
 * Endpoints that have not been tried for the request. If there are none, returns those that could not be
 * reached: one that is back can take the request. Without this, the trial request of a suspected endpoint
 * would be refused because it has tried that endpoint before.
 */
function untried(
  { triedEndpoints, unreachedEndpoints }: Call,
  states: readonly EndpointState[],
): readonly EndpointState[] {
  if (triedEndpoints.size === 0) {
    return states;
  }
  const untriedStates = states.filter(({ record }) =>
    !triedEndpoints.has(record.id)
  );
  return untriedStates.length > 0
    ? untriedStates
    : states.filter(({ record }) => unreachedEndpoints.has(record.id));
}
