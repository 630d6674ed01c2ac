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

/**
 * Ten entries that each send a cold endpoint only a few requests crash it together. One notices by
 * endpoints that end again right after their return. So one entry of the region, the same in all
 * their views, may send to it, and only half of what it bears.
 */
export class ColdAllowance {
  #bounds: GatewayBounds;
  readonly #sent = new Map<EndpointId, Instant[]>();

  constructor(bounds: GatewayBounds) {
    this.#bounds = bounds;
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
    const [owner] = rendezvous(`cold ${record.id}`, region, (name) => name);
    if (owner !== self) {
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
  }

  #recent(endpoint: EndpointId, now: Instant): Instant[] {
    return (this.#sent.get(endpoint) ?? []).filter((at) =>
      now - at < WINDOW_MS
    );
  }
}
