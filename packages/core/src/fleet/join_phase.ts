/**
 * Decides whether an entry is still discovering the fleet's members.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** The join phase ends once no new member has been discovered for this long. */
const JOIN_QUIET_MS = 1_000;
/** The join phase ends at the latest after this time. */
const MAX_JOIN_MS = 10_000;

/**
 * Tracks the phase after the start in which an entry pings more often, until no new members turn up.
 *
 * When all entries of a fleet start at once, none knows the others, and a restarted entry learns little from
 * settled ones. Until entries know each other, callers are directed to the few known ones, and engines are
 * chosen without knowing each other's work. At the ping rate of a settled fleet, 72 entries knew less than half
 * of each other after two seconds.
 */
export class JoinPhase {
  readonly #startedAt: Instant;
  #lastDiscoveryAt: Instant;
  #memberCount = 0;

  constructor(now: Instant) {
    this.#startedAt = now;
    this.#lastDiscoveryAt = now;
  }

  /** `members` is the number of currently known members. */
  isJoining(members: number, now: Instant): boolean {
    if (members > this.#memberCount) {
      this.#lastDiscoveryAt = now;
    }
    this.#memberCount = members;
    return now - this.#lastDiscoveryAt < JOIN_QUIET_MS &&
      now - this.#startedAt < MAX_JOIN_MS;
  }
}
