/**
 * Capacity and demand of other zones.
 *
 * @module
 */
import type { EntryIdentity, ZoneStatus } from "../blackboard/index.ts";
import type { Instant, ZoneId } from "../ids/index.ts";
import type { ZoneReport } from "../messages/index.ts";

/** A zone that is heard again after this much silence counts as newly returned, with cold caches. */
export const ZONE_RETURN_MS = 60_000;

/** Maintains the latest update from each other zone. */
export class ZoneTable {
  readonly #self: EntryIdentity;
  readonly #zones: Map<ZoneId, ZoneStatus>;
  #cursor = 0;

  constructor(self: EntryIdentity, zones: Map<ZoneId, ZoneStatus>) {
    this.#self = self;
    this.#zones = zones;
  }

  /** Applies an update, unless the same delegate has already sent it or a newer one. */
  applyUpdate(news: ZoneReport, now: Instant): void {
    const known = this.#zones.get(news.zone);
    const outdated = known !== undefined && known.news.issuer === news.issuer &&
      news.beat <= known.news.beat;
    if (outdated || news.zone === this.#self.zone) {
      return;
    }
    const returned = known === undefined ||
      now - known.heardAt > ZONE_RETURN_MS;
    this.#zones.set(news.zone, {
      news,
      heardAt: now,
      liveSince: returned ? now : known.liveSince,
    });
  }

  /** Returns the next zone's update to pass on, if any. Demand is only sent within the zone's own region. */
  nextUpdateFor(region: string, now: Instant): ZoneReport[] {
    const known = [...this.#zones.values()].filter(({ news, heardAt }) =>
      now - heardAt < ZONE_RETURN_MS &&
      (news.region === this.#self.region || region === this.#self.region)
    );
    if (known.length === 0) {
      return [];
    }
    this.#cursor++;
    const { news } = known[this.#cursor % known.length]!;
    return [news.region === region ? news : { ...news, demand: [] }];
  }
}
