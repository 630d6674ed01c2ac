/**
 * Limits how many requests this entry sends to a cold endpoint.
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

/**
 * The bound applies to any second of the endpoint's clock. The margin covers differences in network delay.
 */
const RATE_WINDOW_MS = 1_100;
/** Number of entries that may consider themselves the owner of an endpoint while their views differ for a moment. */
const MIN_CONCURRENT_OWNERS = 2;
/** An entry that has been running for less time may not know its peers yet. */
const OWNER_SETTLING_MS = 3_000;

/**
 * Maximum number of endpoints tracked, as many as may be cold at one time: each start of an endpoint has
 * its own id.
 */
const MAX_TRACKED_ENDPOINTS = 4_096;

/** The only entry that may send to a cold endpoint, in this entry's view. */
interface Owner {
  readonly entry: Incarnation | undefined;
  readonly since: number;
  /** The entries that it was chosen from. */
  candidates: readonly Incarnation[];
}

/**
 * Decides whether this entry may send to a cold endpoint.
 *
 * Ten entries that each send a cold endpoint only a few requests overload and crash it together; the
 * symptom is endpoints that end again right after their return. So a single owner, the same in the views
 * of all entries of the region, may send to a cold endpoint. It uses only half of the endpoint's bound,
 * because two entries may both consider themselves the owner, and less while entries are silent: each of them may be cut
 * off and consider itself the owner too.
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

  /** Applies changed bounds from the settings. */
  updateBounds(bounds: GatewayBounds): void {
    this.#bounds = bounds;
  }

  /** Whether this entry may send to the cold endpoint now. */
  allows(
    { record, service }: EndpointState,
    { self, candidates, silent }: {
      self: Incarnation;
      /** Entries of the region that may be alive, including this one. The same array as long as they are the same. */
      candidates: readonly Incarnation[];
      /** Number of other entries of the region that may exist and are not heard. */
      silent: number;
    },
    now: Instant,
  ): boolean {
    const owner = this.#ownerOf(record.id, candidates, now);
    // Requests of the previous owner still count. Otherwise entries that start one after another, each
    // becoming the owner at once, could together send more than twice an owner's share.
    if (owner.entry !== self || now - owner.since < RATE_WINDOW_MS) {
      return false;
    }
    const { coldOvershoot, coldSlack } = this.#bounds;
    const bound = (service?.coldRate ?? 0) * coldOvershoot + coldSlack;
    const owners = Math.max(MIN_CONCURRENT_OWNERS, 1 + silent);
    // One request at the least: otherwise nobody would send to cold endpoints after the loss of many entries.
    return this.#countRecentSends(record.id, now) <
      Math.max(1, Math.floor(bound / owners));
  }

  /** Records a request that is sent to a cold endpoint. */
  recordSend(endpoint: EndpointId, now: Instant): void {
    this.#sent.set(endpoint, [...this.#recentSends(endpoint, now), now]);
    evictOldest(this.#sent);
  }

  #ownerOf(
    endpoint: EndpointId,
    candidates: readonly Incarnation[],
    now: Instant,
  ): Owner {
    const known = this.#owners.get(endpoint);
    if (known?.candidates === candidates) {
      return known;
    }
    const entry = coldOwner(endpoint, candidates);
    if (known !== undefined && known.entry === entry) {
      known.candidates = candidates;
      return known;
    }
    const settled = known === undefined &&
      now - this.#startedAt >= OWNER_SETTLING_MS;
    const owner = { entry, since: settled ? -Infinity : now, candidates };
    this.#owners.set(endpoint, owner);
    evictOldest(this.#owners);
    return owner;
  }

  #countRecentSends(endpoint: EndpointId, now: Instant): number {
    return this.#sent.has(endpoint)
      ? this.#recentSends(endpoint, now).length
      : 0;
  }

  #recentSends(endpoint: EndpointId, now: Instant): Instant[] {
    return (this.#sent.get(endpoint) ?? []).filter((at) =>
      now - at < RATE_WINDOW_MS
    );
  }
}

/** The entry that alone may send to an endpoint while it is cold. */
export function coldOwner(
  endpoint: EndpointId,
  candidates: readonly Incarnation[],
): Incarnation | undefined {
  const [entry] = rendezvous(
    `cold ${endpoint}`,
    candidates,
    (incarnation) => incarnation,
  );
  return entry;
}

function evictOldest(endpoints: Map<EndpointId, unknown>): void {
  if (endpoints.size > MAX_TRACKED_ENDPOINTS) {
    const [oldest] = endpoints.keys();
    endpoints.delete(oldest!);
  }
}
