/**
 * Delays and partitions between zones. The platform counts as a zone and region of its own.
 *
 * @module
 */

/** The zone and region of an entry, an endpoint or the platform. */
export interface Spot {
  readonly zone: string;
  readonly region: string;
}

/** Location of the platform's services. */
export const PLATFORM: Spot = { zone: "platform", region: "platform" };

const SAME_REGION_DELAY_MS = 1;
const CROSS_REGION_DELAY_MS = 90;

/** Decides which zones can reach each other and with what delay. */
export class Network {
  readonly #isolatedGroups: ReadonlySet<string>[] = [];

  /** Disconnects a group of zones from all others. Zones of the group still reach each other. */
  isolate(zones: readonly string[]): void {
    this.#isolatedGroups.push(new Set(zones));
  }

  heal(): void {
    this.#isolatedGroups.length = 0;
  }

  reaches(from: Spot, to: Spot): boolean {
    return this.#isolatedGroups.every((group) =>
      group.has(from.zone) === group.has(to.zone)
    );
  }

  /** One-way delay in milliseconds. */
  delay(from: Spot, to: Spot): number {
    return from.region === to.region || from === PLATFORM || to === PLATFORM
      ? SAME_REGION_DELAY_MS
      : CROSS_REGION_DELAY_MS;
  }
}
