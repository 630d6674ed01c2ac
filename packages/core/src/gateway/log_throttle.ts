/**
 * Throttling of log lines about frequent events.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Minimum time between two log lines. */
const LOG_INTERVAL_MS = 10_000;

/** Counts events, and determines when the next log line is due. */
export class LogThrottle {
  /** Number of events since the start. */
  count = 0;
  #logged = 0;
  #loggedAt: Instant | undefined;

  /** Counts an event. Returns the number of events to report in a log line now, 0 if none is due. */
  add(now: Instant): number {
    this.count++;
    if (
      this.#loggedAt !== undefined && now - this.#loggedAt < LOG_INTERVAL_MS
    ) {
      return 0;
    }
    const unlogged = this.count - this.#logged;
    this.#logged = this.count;
    this.#loggedAt = now;
    return unlogged;
  }
}
