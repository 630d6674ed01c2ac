/**
 * A place for a request among the endpoints of the own region.
 *
 * @module
 */
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import type { FleetController } from "../fleet/index.ts";
import {
  hash32,
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { GatewaySelf } from "./messages.ts";
import { findHolder, place, type Placement, type Work } from "./placement.ts";
import { carriersOf } from "./serving_set.ts";

const MS_PER_SECOND = 1_000;
/** Entries that choose in the same moment see the same picture; this much sets them apart. */
const BIAS_MS = 15;
const UINT32_RANGE = 2 ** 32;

/** A chosen endpoint. */
export type Chosen = Extract<Placement, { kind: "chosen" }>;

/** Why a request has to wait. */
export type WaitReason =
  | "busy"
  /** The region's endpoints take no more than the limits that they stated. */
  | "limited"
  /** The region's endpoints want nothing for a while. */
  | "resting";

/** What waits already where a request looks for a way. */
export interface Ahead {
  /** Milliseconds until what goes first will have been read. */
  readonly wait: number;
  /** Turns of the region's entries until a request's own, where endpoints take a limited rate. */
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

/** What places are found by. */
export interface PlaceSources {
  readonly self: GatewaySelf;
  readonly fleet: FleetController;
  readonly endpoints: EndpointRegistry;
  readonly cold: ColdAllowance;
  readonly terms: EndpointTerms;
}

/** Finds places. */
export class LocalPlaces {
  readonly #sources: PlaceSources;

  constructor(sources: PlaceSources) {
    this.#sources = sources;
  }

  readonly #biasOf = ({ record }: EndpointState): number => {
    const { incarnation } = this.#sources.self;
    return BIAS_MS * hash32(`${incarnation} ${record.id}`) / UINT32_RANGE;
  };

  /** The best place of a request, or why it has to wait for one. */
  find(
    call: Call,
    { ahead, now }: { ahead: Ahead; now: Instant },
  ): LocalPlace {
    const { self, endpoints } = this.#sources;
    const { prompt } = call.head;
    let busy: LocalPlace = { kind: "none" };
    for (const service of call.services) {
      const usable = endpoints.of(service).filter((state) =>
        endpoints.accepts(state, now) && this.coldAllows(state, now) &&
        !call.avoidedVersions.has(state.record.softwareVersion)
      );
      const fresh = untried(call, usable);
      const holder = findHolder(prompt, usable);
      call.unread = (prompt?.promptTokens ?? 0) - (holder?.tokens ?? 0);
      const work = {
        prompt,
        holder,
        zone: self.zone,
        urgent: call.rank === 0,
        biasOf: this.#biasOf,
      };
      const found = this.#placeWithin(work, fresh, { ahead, now });
      if (found.kind === "chosen") {
        return found;
      }
      busy = busy.kind === "none" ? found : busy;
    }
    return busy.kind === "none" ? this.#firstBack(call, now) : busy;
  }

  /** Where all endpoints of the region rest, the one that is the first to take requests again. */
  #firstBack({ services }: Call, now: Instant): LocalPlace {
    const { endpoints } = this.#sources;
    const waits = services.flatMap((service) => endpoints.of(service))
      .filter((state) => endpoints.isOpen(state))
      .map((state) => endpoints.restOf(state, now));
    const allRest = waits.length > 0 && waits.every((wait) => wait > 0);
    return !allRest ? { kind: "none" } : {
      kind: "busy",
      wait: milliseconds(Math.min(...waits)),
      reason: "resting",
    };
  }

  /** A place within the limits that endpoints stated. */
  #placeWithin(
    work: Work,
    states: readonly EndpointState[],
    { ahead, now }: { ahead: Ahead; now: Instant },
  ): LocalPlace {
    const { limits } = this.#sources.terms;
    const best = place(work, states, now);
    if (
      best.kind !== "chosen" || limits.allows(best.state.record, now)
    ) {
      return best.kind === "busy" ? { ...best, reason: "busy" } : best;
    }
    const free = states.filter(({ record }) => limits.isFree(record, now));
    // Permits are asked for where they will be used; only where nothing else is left any will do.
    const allowed = free.length > 0
      ? free
      : states.filter(({ record }) => limits.allows(record, now));
    if (allowed.length > 0) {
      const found = place(work, allowed, now);
      return found.kind === "busy" ? { ...found, reason: "busy" } : found;
    }
    const perSecond = states.reduce(
      (sum, { record }) => sum + (limits.limitOf(record) ?? 0),
      0,
    );
    const wait = Math.max(1, ahead.turns * MS_PER_SECOND / perSecond);
    return { kind: "busy", wait: milliseconds(wait), reason: "limited" };
  }

  /** Whether an endpoint, if it is cold, may get a request of this entry. */
  coldAllows(state: EndpointState, now: Instant): boolean {
    if (!state.isCold(now)) {
      return true;
    }
    const { self, cold } = this.#sources;
    return cold.allows(state, {
      self: self.incarnation,
      region: this.#carriers(),
    }, now);
  }

  /**
   * Entries of the region that carry at any load, by all that may be alive: one that stands by has no
   * requests for the endpoints it tends.
   */
  #carriers(): Incarnation[] {
    const { self, fleet } = this.#sources;
    return carriersOf(self.region, fleet).map(({ incarnation }) => incarnation);
  }
}

/**
 * Endpoints that a request was not at yet. Where there are none, those that could not be reached: one
 * that answers again takes it, and without this the request that tests it is refused for having tried.
 */
function untried(
  { tried, unreached }: Call,
  states: readonly EndpointState[],
): readonly EndpointState[] {
  const fresh = states.filter(({ record }) => !tried.has(record.id));
  return fresh.length > 0
    ? fresh
    : states.filter(({ record }) => unreached.has(record.id));
}
