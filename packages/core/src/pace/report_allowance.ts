/**
 * Limits how many figures of contention an entry passes on.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Figures that all entries of a region pass on in a second: each of them receives about 1 KB of these. */
const REGION_FIGURES_PER_SECOND = 40;
/** Figures in one report. Those with the largest effect go first, and the others may follow. */
const MAX_FIGURES_PER_REPORT = 16;
const MS_PER_SECOND = 1_000;

/** An entry's part of the figures that its region passes on. */
export class ReportAllowance {
  #figures = MAX_FIGURES_PER_REPORT;
  #updatedAt: Instant | undefined;

  /** Figures that this entry may pass on now, one of `entries` that share the region's. */
  available(entries: number, now: Instant): number {
    const elapsed = Math.max(0, now - (this.#updatedAt ?? now));
    this.#updatedAt = now;
    const share = REGION_FIGURES_PER_SECOND / Math.max(1, entries);
    this.#figures = Math.min(
      MAX_FIGURES_PER_REPORT,
      this.#figures + share * elapsed / MS_PER_SECOND,
    );
    return Math.floor(this.#figures);
  }

  spend(figures: number): void {
    this.#figures -= figures;
  }
}
