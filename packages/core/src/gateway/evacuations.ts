/**
 * Zones to whose endpoints nothing may be sent.
 *
 * @module
 */
import type { Instant, ZoneId } from "../ids/index.ts";

/** Zones that are evacuated. */
export class Evacuations {
  readonly zones = new Set<ZoneId>();
  /** Those that a restored catalogue lacks, with the time until which they stay evacuated. */
  readonly #kept = new Map<ZoneId, Instant>();

  /** Those that are published. */
  get published(): ZoneId[] {
    return [...this.zones].filter((zone) => !this.#kept.has(zone));
  }

  /** Zones that stay evacuated although the platform does not say so. */
  get kept(): number {
    return this.#kept.size;
  }

  begin(zone: ZoneId): void {
    this.zones.add(zone);
    this.#kept.delete(zone);
  }

  end(zone: ZoneId): void {
    this.zones.delete(zone);
    this.#kept.delete(zone);
  }

  /** Takes all that there are; those that are missing stay evacuated until `keptUntil`, if at all. */
  replace(zones: readonly ZoneId[], keptUntil?: Instant): void {
    const present = new Set(zones);
    for (const zone of this.zones) {
      const until = this.#kept.get(zone) ?? keptUntil;
      if (present.has(zone)) {
        continue;
      }
      if (until === undefined) {
        this.end(zone);
      } else {
        this.#kept.set(zone, until);
      }
    }
    present.forEach((zone) => this.begin(zone));
  }

  /** Ends those that were kept long enough; whether there were any. */
  expire(now: Instant): boolean {
    const over = [...this.#kept].filter(([, until]) => now >= until);
    over.forEach(([zone]) => this.end(zone));
    return over.length > 0;
  }
}
