/**
 * How much a cold endpoint may get from this entry.
 *
 * @module
 */
import {
  type EndpointId,
  type Incarnation,
  type Instant,
  rendezvous,
} from "../ids/index.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { GatewayBounds } from "./messages.ts";

/** The bound holds for any second, by the endpoint's clock: a little more covers the way there. */
const WINDOW_MS = 1_100;
/** Two entries may both hold themselves for the one, while their views differ. */
const POSSIBLE_OWNERS = 2;
/** An entry that has run for less may not know its peers yet. */
const SETTLING_MS = 3_000;

/** Endpoints that are cold at one time, at the most: each start of one has an id of its own. */
const MOST_ENDPOINTS = 4_096;

/** The one entry that may send to a cold endpoint, in this entry's view. */
interface Owner {
  readonly entry: Incarnation | undefined;
  readonly since: number;
}

/**
 * Ten entries that each send a cold endpoint only a few requests crash it together. One notices by
 * endpoints that end again right after their return. So one entry of the region, the same in all
 * their views, may send to it, and only half of what it bears.
 */
export class ColdAllowance {
  #bounds: GatewayBounds;
  readonly #sent = new Map<EndpointId, Instant[]>();
  readonly #owners = new Map<EndpointId, Owner>();
  readonly #startedAt: Instant;

  constructor(bounds: GatewayBounds, now: Instant) {
    this.#bounds = bounds;
    this.#startedAt = now;
  }

  /** Takes new figures. */
  rebound(bounds: GatewayBounds): void {
    this.#bounds = bounds;
  }

  /** Whether this entry may send to the cold endpoint now. */
  allows(
    { record, service }: EndpointState,
    { self, region }: {
      self: Incarnation;
      /** Entries of the region that may be alive, this one included. */
      region: readonly Incarnation[];
    },
    now: Instant,
  ): boolean {
    const owner = this.#ownerOf(record.id, region, now);
    // What the former owner sent still counts: entries that start one after another and each become the
    // owner at once would together send more than two of them may.
    if (owner.entry !== self || now - owner.since < WINDOW_MS) {
      return false;
    }
    const { coldOvershoot, coldSlack } = this.#bounds;
    const bound = (service?.coldRate ?? 0) * coldOvershoot + coldSlack;
    return this.#recent(record.id, now).length <
      Math.floor(bound / POSSIBLE_OWNERS);
  }

  /** Notes a request that is sent. */
  spend(endpoint: EndpointId, now: Instant): void {
    this.#sent.set(endpoint, [...this.#recent(endpoint, now), now]);
    forgetOldest(this.#sent);
  }

  #ownerOf(
    endpoint: EndpointId,
    region: readonly Incarnation[],
    now: Instant,
  ): Owner {
    const [entry] = rendezvous(`cold ${endpoint}`, region, (name) => name);
    const known = this.#owners.get(endpoint);
    if (known !== undefined && known.entry === entry) {
      return known;
    }
    const settled = known === undefined &&
      now - this.#startedAt >= SETTLING_MS;
    const owner = { entry, since: settled ? -Infinity : now };
    this.#owners.set(endpoint, owner);
    forgetOldest(this.#owners);
    return owner;
  }

  #recent(endpoint: EndpointId, now: Instant): Instant[] {
    return (this.#sent.get(endpoint) ?? []).filter((at) =>
      now - at < WINDOW_MS
    );
  }
}

function forgetOldest(endpoints: Map<EndpointId, unknown>): void {
  if (endpoints.size > MOST_ENDPOINTS) {
    const [oldest] = endpoints.keys();
    endpoints.delete(oldest!);
  }
}
