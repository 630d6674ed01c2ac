/**
 * Availability zones whose endpoints may receive no requests.
 *
 * @module
 */
import type { Instant, ZoneId } from "../ids/index.ts";

/** Tracks the evacuated zones. */
export class Evacuations {
  readonly zones = new Set<ZoneId>();
  /** Zones that are missing from a restored catalogue, with the time until which they stay evacuated. */
  readonly #keptUntil = new Map<ZoneId, Instant>();

  /** Zones whose evacuation is published by the platform. */
  get published(): ZoneId[] {
    return [...this.zones].filter((zone) => !this.#keptUntil.has(zone));
  }

  /** Number of zones that stay evacuated although the platform no longer publishes it. */
  get keptCount(): number {
    return this.#keptUntil.size;
  }

  begin(zone: ZoneId): void {
    this.zones.add(zone);
    this.#keptUntil.delete(zone);
  }

  end(zone: ZoneId): void {
    this.zones.delete(zone);
    this.#keptUntil.delete(zone);
  }

  /**
   * Replaces the evacuated zones. Zones missing from `zones` stay evacuated until `keptUntil`, if it is
   * given.
   */
  replace(zones: readonly ZoneId[], keptUntil?: Instant): void {
    const present = new Set(zones);
    for (const zone of this.zones) {
      const until = this.#keptUntil.get(zone) ?? keptUntil;
      if (present.has(zone)) {
        continue;
      }
      if (until === undefined) {
        this.end(zone);
      } else {
        this.#keptUntil.set(zone, until);
      }
    }
    present.forEach((zone) => this.begin(zone));
  }

  /** Ends the evacuations whose retention is over. Returns whether there were any. */
  expire(now: Instant): boolean {
    const expired = [...this.#keptUntil].filter(([, until]) => now >= until);
    expired.forEach(([zone]) => this.end(zone));
    return expired.length > 0;
  }
}
