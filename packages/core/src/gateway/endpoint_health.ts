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
/**
 * The same for an endpoint that takes no connection. A trial costs its request a moment and nothing can be
 * lost with it, while requests wait a second at the most: with the times above they were refused although
 * the endpoint had been back for half of that.
 */
const FIRST_ABSENCE_MS = 150;
const MOST_ABSENCE_MS = 500;

/** How an attempt went, as far as the endpoint is to blame. */
export type Outcome =
  | "good"
  /** Turned away by an endpoint that said when it takes requests again. */
  | "deferred"
  /** An answer that says failure. */
  | "failed"
  /** No connection: no byte was written. */
  | "unreached"
  /** A broken connection, or silence. */
  | "broken";

/** Keeps the failure rate and takes an endpoint out of use for a while. */
export class EndpointHealth {
  /** Part of the last outcomes that failed or broke, 0 to 1. */
  failureRate = 0;
  /** The same for broken ones alone. */
  brokenRate = 0;
  #inARow = 0;
  /** Times out of use since the last sign of life. */
  #trials = 0;
  #suspectUntil: Instant | undefined;
  /** Whether the one request that tests a suspect is under way. */
  #trialAt: Instant | undefined;

  note(outcome: Outcome, now: Instant): void {
    const bad = outcome === "good" ? 0 : 1;
    const lost = outcome === "broken" || outcome === "unreached";
    const broken = lost ? 1 : 0;
    // Counted as a failure, a refusal would keep requests away for as long as others serve.
    if (outcome !== "deferred") {
      this.failureRate += NEWEST_WEIGHT * (bad - this.failureRate);
      this.brokenRate += NEWEST_WEIGHT * (broken - this.brokenRate);
    }
    this.#trialAt = undefined;
    if (!lost) {
      this.#inARow = 0;
      this.#trials = 0;
      this.#suspectUntil = undefined;
      return;
    }
    this.#inARow++;
    if (this.#inARow >= FAILURES_TO_SUSPECT) {
      this.suspect(now, outcome);
    }
  }

  /** Takes the endpoint out of use for a while. */
  suspect(now: Instant, cause: "broken" | "unreached" = "broken"): void {
    if (this.#suspectUntil !== undefined && now < this.#suspectUntil) {
      return;
    }
    const [first, most] = cause === "broken"
      ? [FIRST_SUSPICION_MS, MOST_SUSPICION_MS]
      : [FIRST_ABSENCE_MS, MOST_ABSENCE_MS];
    this.#suspectUntil = after(now, Math.min(most, first * 2 ** this.#trials));
    this.#trials++;
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
