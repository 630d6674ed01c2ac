/**
 * Tracks an endpoint's health from the outcomes of real requests. Health checks do not decide it: an
 * endpoint may pass them and still fail its callers, or the reverse, and each probe costs it a slot.
 *
 * @module
 */
import { after, type Instant } from "../ids/index.ts";

/** Weight of the newest outcome in the moving averages: roughly the last ten outcomes decide. */
const OUTCOME_WEIGHT = 0.12;
/**
 * Consecutive connection failures or silences that make an endpoint suspected. One may be chance, two are
 * not.
 */
const FAILURES_TO_SUSPECT = 2;
/** Length of the first suspicion. It doubles with each failed trial, up to the maximum. */
const INITIAL_SUSPICION_MS = 500;
const MAX_SUSPICION_MS = 2_000;
/**
 * The same times for an endpoint that accepts no connection. A trial costs its request only a moment, and
 * nothing can be lost because no byte is written, while requests wait one second at most. With the times
 * above, requests were refused although the endpoint had been back for half of that second.
 */
const INITIAL_UNREACHABLE_MS = 150;
const MAX_UNREACHABLE_MS = 500;

/** Outcome of an attempt, as far as the endpoint is responsible for it. */
export type AttemptOutcome =
  | "good"
  /** The endpoint refused the request and said when it accepts requests again. */
  | "deferred"
  /** The endpoint answered with a failure. */
  | "failed"
  /** The connection failed before any byte was written. */
  | "unreached"
  /** The connection broke, or the endpoint fell silent. */
  | "broken";

/**
 * Tracks an endpoint's failure rate and excludes the endpoint from use for a while after connection
 * failures.
 */
export class EndpointHealth {
  /** Moving average of the outcomes that were failures of any kind, from 0 to 1. */
  failureRate = 0;
  /** Moving average of the outcomes that were connection failures, from 0 to 1. */
  connectionFailureRate = 0;
  #consecutiveFailures = 0;
  /** Suspicions since the endpoint last answered; determines the length of the next one. */
  #suspicions = 0;
  #suspectedUntil: Instant | undefined;
  /** When the trial request of a suspected endpoint was sent, `undefined` while none is in flight. */
  #trialStartedAt: Instant | undefined;

  recordOutcome(outcome: AttemptOutcome, now: Instant): void {
    const failure = outcome === "good" ? 0 : 1;
    const connectionFailed = outcome === "broken" || outcome === "unreached";
    const connectionFailure = connectionFailed ? 1 : 0;
    // Counting a deferral as a failure would keep requests away for as long as other endpoints serve.
    if (outcome !== "deferred") {
      this.failureRate += OUTCOME_WEIGHT * (failure - this.failureRate);
      this.connectionFailureRate += OUTCOME_WEIGHT *
        (connectionFailure - this.connectionFailureRate);
    }
    this.#trialStartedAt = undefined;
    if (!connectionFailed) {
      this.#consecutiveFailures = 0;
      this.#suspicions = 0;
      this.#suspectedUntil = undefined;
      return;
    }
    this.#consecutiveFailures++;
    if (this.#consecutiveFailures >= FAILURES_TO_SUSPECT) {
      this.suspect(now, outcome);
    }
  }

  /** Excludes the endpoint from use for a while. */
  suspect(now: Instant, cause: "broken" | "unreached" = "broken"): void {
    if (this.#suspectedUntil !== undefined && now < this.#suspectedUntil) {
      return;
    }
    const [initial, max] = cause === "broken"
      ? [INITIAL_SUSPICION_MS, MAX_SUSPICION_MS]
      : [INITIAL_UNREACHABLE_MS, MAX_UNREACHABLE_MS];
    this.#suspectedUntil = after(
      now,
      Math.min(max, initial * 2 ** this.#suspicions),
    );
    this.#suspicions++;
    this.#consecutiveFailures = FAILURES_TO_SUSPECT;
  }

  /**
   * Whether new work may be sent to the endpoint. Once its suspicion has run out, it gets one request as a
   * trial.
   */
  isUsable(now: Instant): boolean {
    if (this.#suspectedUntil === undefined) {
      return true;
    }
    const trialInProgress = this.#trialStartedAt !== undefined &&
      now - this.#trialStartedAt < MAX_SUSPICION_MS;
    return now >= this.#suspectedUntil && !trialInProgress;
  }

  get isSuspected(): boolean {
    return this.#suspectedUntil !== undefined;
  }

  /** Notes that a request is sent to the endpoint. For a suspected endpoint this request is the trial. */
  noteRequestSent(now: Instant): void {
    if (this.#suspectedUntil !== undefined) {
      this.#trialStartedAt = now;
    }
  }
}
