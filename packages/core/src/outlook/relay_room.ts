/**
 * This entry's share of what other regions have to spare, counted down with each request sent there.
 *
 * @module
 */
import type { Instant, RegionId, ServiceId } from "../ids/index.ts";
import type { KnownServiceOutlook } from "./region_outlooks.ts";

/** Longest time for which unused room is kept, so that it isn't used up in one burst. */
const MAX_SAVED_MS = 300;
const MS_PER_SECOND = 1_000;

interface Account {
  tokens: number;
  updatedAt: Instant;
}

/**
 * Accounts for the room in other regions.
 *
 * An account fills at this entry's share of the announced rate, for `MAX_SAVED_MS` at the most, and a request may be sent
 * while it isn't empty. So the entries of a region together send, over any time, no more than the announced rate times
 * that time, `MAX_SAVED_MS` of it more, and one request each.
 */
export class RelayRoom {
  readonly #accounts = new Map<string, Account>();

  /** Whether a request may be sent to a region, which one of `entries` sends to. */
  has(
    { region, service }: { region: RegionId; service: ServiceId },
    { outlook, entries }: { outlook: KnownServiceOutlook; entries: number },
    now: Instant,
  ): boolean {
    const rate = outlook.spareTokensPerSecond * outlook.weight /
      Math.max(1, entries) / MS_PER_SECOND;
    const key = `${region} ${service}`;
    const account = this.#accounts.get(key);
    if (account === undefined) {
      this.#accounts.set(key, { tokens: rate * MAX_SAVED_MS, updatedAt: now });
      return rate > 0;
    }
    const elapsed = Math.max(0, now - account.updatedAt);
    account.tokens = Math.min(
      rate * MAX_SAVED_MS,
      account.tokens + rate * elapsed,
    );
    account.updatedAt = now;
    return rate > 0 && account.tokens > 0;
  }

  /** Counts prompt tokens that were sent to a region. */
  spend(
    { region, service }: { region: RegionId; service: ServiceId },
    tokens: number,
  ): void {
    const account = this.#accounts.get(`${region} ${service}`);
    if (account !== undefined) {
      account.tokens -= tokens;
    }
  }
}
