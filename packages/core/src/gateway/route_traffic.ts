/**
 * Which routes callers use at present.
 *
 * @module
 */
import type { Instant, RouteName } from "../ids/index.ts";

/** Counts fall to a third within this time. */
const MEMORY_MS = 4_000;

interface Count {
  value: number;
  at: Instant;
}

/** Keeps a fading count of requests by route. */
export class RouteTraffic {
  readonly #counts = new Map<RouteName, Count>();

  add(route: RouteName, now: Instant): void {
    this.#counts.set(route, { value: this.of(route, now) + 1, at: now });
  }

  of(route: RouteName, now: Instant): number {
    const count = this.#counts.get(route);
    return count === undefined
      ? 0
      : count.value * Math.exp((count.at - now) / MEMORY_MS);
  }
}
