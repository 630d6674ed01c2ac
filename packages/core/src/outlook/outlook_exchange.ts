/**
 * Decides when this entry announces the outlook of its region to others, and when it passes on theirs.
 *
 * For each pair of regions, two serving entries on each side exchange outlooks: every entry knows which, from the
 * list of members. A region speaks while it is busy, to all others, and while another one is busy, to that one.
 *
 * @module
 */
import { after, type Instant, instant, type RegionId } from "../ids/index.ts";
import type { RegionOutlook } from "./outlook_messages.ts";
import { isBusyOutlook, type OwnOutlook } from "./own_outlook.ts";
import type { RegionOutlooks } from "./region_outlooks.ts";

/** Time between two outlooks from one entry to another region. */
export const OUTLOOK_PERIOD_MS = 250;
/** An outlook is passed on if it is newer than the one known by this time: the other receiver passes on its own. */
const MIN_NEWS_MS = 125;
/** The same while this region is at rest, when it only has to divide what it has to spare. */
const MIN_RESTING_NEWS_MS = 1_000;
/** Regions with the most to spare whose outlooks are passed on. */
const MAX_REGIONS_PASSED_ON = 4;

/** Dependencies of `OutlookExchange`. */
export interface OutlookExchangeSources {
  readonly own: OwnOutlook;
  readonly outlooks: RegionOutlooks;
  readonly isWanted: () => boolean;
  readonly otherRegions: readonly RegionId[];
  /** Whether this entry exchanges outlooks with another region for its own. */
  readonly isPartnerOf: (region: RegionId, now: Instant) => boolean;
  /** Sends to the entries of another region that exchange outlooks with this one. */
  readonly announce: (
    region: RegionId,
    outlook: RegionOutlook,
    now: Instant,
  ) => void;
  /** Sends to the other serving entries of this region. */
  readonly passOn: (outlook: RegionOutlook, now: Instant) => void;
}

/** Exchanges outlooks. */
export class OutlookExchange {
  readonly #sources: OutlookExchangeSources;
  #nextAt = instant(0);

  constructor(sources: OutlookExchangeSources) {
    this.#sources = sources;
  }

  tick(now: Instant): void {
    const { own, isWanted, otherRegions, isPartnerOf, announce } =
      this.#sources;
    if (now < this.#nextAt) {
      return;
    }
    this.#nextAt = after(now, OUTLOOK_PERIOD_MS);
    if (!isWanted()) {
      return;
    }
    const busyRegions = this.#busyRegions(now);
    const isBusy = own.isBusy(now);
    if (!isBusy && busyRegions.size === 0) {
      return;
    }
    const outlook = own.describe(busyRegions.size, now);
    for (const region of otherRegions) {
      const isConcerned = isBusy || busyRegions.has(region);
      if (isConcerned && isPartnerOf(region, now)) {
        announce(region, outlook, now);
      }
    }
  }

  /** Keeps an outlook, and passes it on if this entry received it for its region. */
  receive(outlook: RegionOutlook, now: Instant): void {
    const { outlooks, isWanted, isPartnerOf, passOn } = this.#sources;
    const known = outlooks.estimatedAt(outlook.region);
    const newerBy = now - Math.max(0, outlook.age) - (known ?? -Infinity);
    outlooks.update(outlook, now);
    if (
      isWanted() && newerBy >= this.#minNewsMs(now) &&
      isPartnerOf(outlook.region, now) && this.#isOfInterest(outlook, now)
    ) {
      passOn(outlook, now);
    }
  }

  #minNewsMs(now: Instant): number {
    return this.#sources.own.isBusy(now) ? MIN_NEWS_MS : MIN_RESTING_NEWS_MS;
  }

  /** Of many regions, entries need to know the busy ones and those with the most to spare. */
  #isOfInterest(outlook: RegionOutlook, now: Instant): boolean {
    const spare = totalSpare(outlook);
    const better =
      this.#sources.outlooks.fresh(now).filter((item) =>
        item.region !== outlook.region && totalSpare(item) > spare
      ).length;
    return spare === 0 || better < MAX_REGIONS_PASSED_ON;
  }

  /** Other regions that have announced that a service is busy there. */
  #busyRegions(now: Instant): Set<RegionId> {
    return new Set(
      this.#sources.outlooks.fresh(now)
        .filter(({ services }) => services.some(isBusyOutlook))
        .map(({ region }) => region),
    );
  }
}

function totalSpare({ services }: RegionOutlook): number {
  return services.reduce(
    (sum, { spareTokensPerSecond }) => sum + spareTokensPerSecond,
    0,
  );
}
