/**
 * Load summaries of other regions.
 *
 * @module
 */
import {
  type Instant,
  instant,
  milliseconds,
  type RegionId,
} from "../ids/index.ts";
import type { RegionSummary } from "./fleet_messages.ts";

/** Older summaries are ignored. */
export const SUMMARY_LIFETIME_MS = 5_000;
/** Summaries of other regions in one message. */
const SUMMARIES_PER_MESSAGE = 6;

interface KnownSummary {
  readonly summary: RegionSummary;
  readonly countedAt: Instant;
}

/** Keeps the newest summary of each other region. */
export class RegionSummaries {
  readonly #ownRegion: RegionId;
  readonly #summaries = new Map<RegionId, KnownSummary>();
  #cursor = 0;

  constructor(ownRegion: RegionId) {
    this.#ownRegion = ownRegion;
  }

  update(summary: RegionSummary, now: Instant): void {
    const countedAt = instant(now - summary.age);
    const known = this.#summaries.get(summary.region);
    const newer = known === undefined || countedAt > known.countedAt;
    if (summary.region !== this.#ownRegion && newer) {
      this.#summaries.set(summary.region, { summary, countedAt });
    }
  }

  /** Summaries of other regions that have not expired. */
  fresh(now: Instant): RegionSummary[] {
    return [...this.#summaries.values()]
      .filter(({ countedAt }) => now - countedAt <= SUMMARY_LIFETIME_MS)
      .map(({ summary, countedAt }) => ({
        ...summary,
        age: milliseconds(now - countedAt),
      }));
  }

  /** The next summaries to pass on, in turn. */
  next(now: Instant): RegionSummary[] {
    const fresh = this.fresh(now);
    if (fresh.length <= SUMMARIES_PER_MESSAGE) {
      return fresh;
    }
    this.#cursor += SUMMARIES_PER_MESSAGE;
    return Array.from(
      { length: SUMMARIES_PER_MESSAGE },
      (_, index) => fresh[(this.#cursor + index) % fresh.length]!,
    );
  }
}
