/**
 * Events that come too often for a line each.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Between two lines. */
const LINE_PAUSE_MS = 10_000;

/** Counts, and tells when a line is due. */
export class LineTally {
  /** Since the start. */
  count = 0;
  #written = 0;
  #writtenAt: Instant | undefined;

  /** Adds one; how many a line written now stands for, 0 where none is due. */
  add(now: Instant): number {
    this.count++;
    if (
      this.#writtenAt !== undefined && now - this.#writtenAt < LINE_PAUSE_MS
    ) {
      return 0;
    }
    const news = this.count - this.#written;
    this.#written = this.count;
    this.#writtenAt = now;
    return news;
  }
}
