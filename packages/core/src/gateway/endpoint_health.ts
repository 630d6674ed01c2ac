/**
 * What an endpoint's own answers say of its health. Health checks are not asked: an endpoint may pass
 * them and fail its callers, or the reverse, and each probe costs it a slot.
 *
 * @module
 */
import { after, type Instant } from "../ids/index.ts";

/** Weight of the newest outcome: some ten outcomes decide. */
const NEWEST_WEIGHT = 0.12;
/** A connection that fails, or silence, in a row: one may be chance, two are not. */
const FAILURES_TO_SUSPECT = 2;
/** First time out of use; doubles with each trial that fails, up to the most. */
const FIRST_SUSPICION_MS = 500;
const MOST_SUSPICION_MS = 2_000;

/** How an attempt went, as far as the endpoint is to blame. */
export type Outcome =
  | "good"
  /** An answer that says failure. */
  | "failed"
  /** No connection, a broken connection, or silence. */
  | "broken";

/** Keeps the failure rate and takes an endpoint out of use for a while. */
export class EndpointHealth {
  /** Part of the last outcomes that failed or broke, 0 to 1. */
  failureRate = 0;
  /** The same for broken ones alone. */
  brokenRate = 0;
  #inARow = 0;
  #suspicionMs = FIRST_SUSPICION_MS;
  #suspectUntil: Instant | undefined;
  /** Whether the one request that tests a suspect is under way. */
  #trialAt: Instant | undefined;

  note(outcome: Outcome, now: Instant): void {
    const bad = outcome === "good" ? 0 : 1;
    const broken = outcome === "broken" ? 1 : 0;
    this.failureRate += NEWEST_WEIGHT * (bad - this.failureRate);
    this.brokenRate += NEWEST_WEIGHT * (broken - this.brokenRate);
    this.#trialAt = undefined;
    if (outcome !== "broken") {
      this.#inARow = 0;
      this.#suspicionMs = FIRST_SUSPICION_MS;
      this.#suspectUntil = undefined;
      return;
    }
    this.#inARow++;
    if (this.#inARow >= FAILURES_TO_SUSPECT) {
      this.suspect(now);
    }
  }

  /** Takes the endpoint out of use for a while. */
  suspect(now: Instant): void {
    if (this.#suspectUntil !== undefined && now < this.#suspectUntil) {
      return;
    }
    this.#suspectUntil = after(now, this.#suspicionMs);
    this.#suspicionMs = Math.min(MOST_SUSPICION_MS, this.#suspicionMs * 2);
    this.#inARow = FAILURES_TO_SUSPECT;
  }

  /** Whether new work may go there; after its time a suspect gets one request as a trial. */
  usable(now: Instant): boolean {
    if (this.#suspectUntil === undefined) {
      return true;
    }
    const trialOpen = this.#trialAt !== undefined &&
      now - this.#trialAt < MOST_SUSPICION_MS;
    return now >= this.#suspectUntil && !trialOpen;
  }

  get suspected(): boolean {
    return this.#suspectUntil !== undefined;
  }

  /** A request goes there; of a suspect it is the trial. */
  used(now: Instant): void {
    if (this.#suspectUntil !== undefined) {
      this.#trialAt = now;
    }
  }
}
