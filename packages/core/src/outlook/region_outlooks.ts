/**
 * The newest outlook of each other region.
 *
 * @module
 */
import {
  type Instant,
  instant,
  milliseconds,
  type RegionId,
  type ServiceId,
} from "../ids/index.ts";
import type { RegionOutlook, ServiceOutlook } from "./outlook_messages.ts";

/** Older outlooks are ignored: a queue can fill within a second. */
export const OUTLOOK_LIFETIME_MS = 1_500;
/** Up to this age an outlook counts in full; then less and less until its lifetime has passed. */
const FULL_WEIGHT_AGE_MS = 600;

interface KnownOutlook {
  readonly outlook: RegionOutlook;
  readonly estimatedAt: Instant;
}

/** The outlook of a service in another region. */
export interface KnownServiceOutlook extends ServiceOutlook {
  readonly estimatedAt: Instant;
  /** How much it counts at its age, from 0 to 1. */
  readonly weight: number;
}

/** Keeps the outlooks of other regions until they are too old. */
export class RegionOutlooks {
  readonly #ownRegion: RegionId;
  readonly #outlooks = new Map<RegionId, KnownOutlook>();

  constructor(ownRegion: RegionId) {
    this.#ownRegion = ownRegion;
  }

  /** Keeps an outlook if it is newer than the one known of its region. */
  update(outlook: RegionOutlook, now: Instant): void {
    // An age below zero would keep this outlook in place of newer ones.
    const estimatedAt = instant(now - Math.max(0, outlook.age));
    const known = this.#outlooks.get(outlook.region);
    const isNewer = known === undefined || estimatedAt > known.estimatedAt;
    if (outlook.region !== this.#ownRegion && isNewer) {
      this.#outlooks.set(outlook.region, { outlook, estimatedAt });
    }
  }

  /** The outlook of a service in another region, `undefined` if none is known or it is too old. */
  of(
    region: RegionId,
    service: ServiceId,
    now: Instant,
  ): KnownServiceOutlook | undefined {
    const known = this.#outlooks.get(region);
    if (known === undefined || now - known.estimatedAt > OUTLOOK_LIFETIME_MS) {
      return undefined;
    }
    const { outlook, estimatedAt } = known;
    const found = outlook.services.find((item) => item.service === service);
    return found === undefined
      ? undefined
      : { ...found, estimatedAt, weight: weightAt(now - estimatedAt) };
  }

  /** When the newest outlook of a region was estimated, `undefined` if none is known. */
  estimatedAt(region: RegionId): Instant | undefined {
    return this.#outlooks.get(region)?.estimatedAt;
  }

  /** Outlooks that have not expired, with their present age. */
  fresh(now: Instant): RegionOutlook[] {
    return [...this.#outlooks.values()]
      .filter(({ estimatedAt }) => now - estimatedAt <= OUTLOOK_LIFETIME_MS)
      .map(({ outlook, estimatedAt }) => ({
        ...outlook,
        age: milliseconds(now - estimatedAt),
      }));
  }
}

function weightAt(ageMs: number): number {
  const left = (OUTLOOK_LIFETIME_MS - ageMs) /
    (OUTLOOK_LIFETIME_MS - FULL_WEIGHT_AGE_MS);
  return Math.min(1, Math.max(0, left));
}
