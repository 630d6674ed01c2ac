/**
 * Decides to which origins connections may carry several requests.
 *
 * @module
 */
import type { Instant } from "@sassafrasstep/core";

/** Each extra answer costs an attempt, so that an origin that sends them may cost few. */
const NO_REUSE_MS = 60_000;

/** The origins to which connections must not be used again for a while. */
export class ConnectionReuse {
  readonly #deniedUntil = new Map<string, number>();

  /** Records that an origin sent an answer that may belong to another request. */
  recordUnproved(origin: string, now: Instant): void {
    this.#deniedUntil.forEach((until, other) => {
      if (now >= until) {
        this.#deniedUntil.delete(other);
      }
    });
    this.#deniedUntil.set(origin, now + NO_REUSE_MS);
  }

  isAllowed(origin: string, now: Instant): boolean {
    return now >= (this.#deniedUntil.get(origin) ?? -Infinity);
  }
}
