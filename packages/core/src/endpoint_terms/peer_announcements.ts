/**
 * Tracks which entries still have to be sent the current announcements.
 *
 * @module
 */
import type { Incarnation, Instant } from "../ids/index.ts";

/** Time between two rounds of announcements. */
const ANNOUNCEMENT_PERIOD_MS = 250;
/** Each entry is sent the announcements this many times, since datagrams may be lost. */
const ANNOUNCEMENTS_PER_PEER = 2;

/** Counts how often the current announcements were sent to each entry. */
export class PeerAnnouncements {
  readonly #sentCounts = new Map<Incarnation, number>();
  #lastRoundAt: Instant | undefined;

  /** Starts over: the announcements changed, so all entries have to be sent them again. */
  reset(): void {
    this.#sentCounts.clear();
    this.#lastRoundAt = undefined;
  }

  /** Returns the entries to send the announcements to now, and counts them as sent. */
  takeDue(peers: readonly Incarnation[], now: Instant): Incarnation[] {
    if (
      this.#lastRoundAt !== undefined &&
      now - this.#lastRoundAt < ANNOUNCEMENT_PERIOD_MS
    ) {
      return [];
    }
    this.#lastRoundAt = now;
    this.#removeAbsent(peers);
    const due = peers.filter((peer) =>
      (this.#sentCounts.get(peer) ?? 0) < ANNOUNCEMENTS_PER_PEER
    );
    due.forEach((peer) =>
      this.#sentCounts.set(peer, (this.#sentCounts.get(peer) ?? 0) + 1)
    );
    return due;
  }

  #removeAbsent(peers: readonly Incarnation[]): void {
    const present = new Set(peers);
    for (const peer of this.#sentCounts.keys()) {
      if (!present.has(peer)) {
        this.#sentCounts.delete(peer);
      }
    }
  }
}
