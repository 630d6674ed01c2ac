/**
 * Recent traffic of each route.
 *
 * @module
 */
import type { Instant, RouteName } from "../ids/index.ts";

/** Time constant of the decay: counts fall to about a third within this time. */
const DECAY_MS = 4_000;

interface DecayingCount {
  value: number;
  at: Instant;
}

/** Exponentially decaying count of requests for each route. */
export class RouteTraffic {
  readonly #counts = new Map<RouteName, DecayingCount>();

  add(route: RouteName, now: Instant): void {
    this.#counts.set(route, { value: this.of(route, now) + 1, at: now });
  }

  of(route: RouteName, now: Instant): number {
    const count = this.#counts.get(route);
    return count === undefined
      ? 0
      : count.value * Math.exp((count.at - now) / DECAY_MS);
  }
}
