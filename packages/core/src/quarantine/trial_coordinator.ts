/**
 * Sends requests with what was present at several crashes one at a time, until it is known whether it crashes
 * endpoints.
 *
 * @module
 */
import {
  after,
  hash32,
  type Incarnation,
  type Instant,
  type Milliseconds,
  type RequestId,
} from "../ids/index.ts";
import type { CrashSubject } from "./subject.ts";

/** A trial without a result ends after this time, which is longer than it takes to detect a crash. */
const TRIAL_TIMEOUT_MS = 5_000;
/**
 * A claim expires after this time if no trial follows, because the request was cancelled or found no
 * endpoint.
 */
const CLAIM_TIMEOUT_MS = 600;

interface Trial {
  readonly since: Instant;
  readonly until: Instant;
  /** Known crashes with the request when the trial began. The trial ends at the next crash. */
  readonly crashes: number;
  /** `undefined` for a trial of another entry. */
  readonly request: RequestId | undefined;
  /** The other entry, `undefined` for a trial of this one. */
  readonly from: Incarnation | undefined;
  readonly sent: boolean;
}

/** A request that needs a trial. */
export interface TrialRequest {
  readonly request: RequestId;
  /** The entry that relayed the request, `undefined` for one that came from its caller. */
  readonly relayedBy?: Incarnation | undefined;
  /** Known crashes with the request. */
  readonly crashes: number;
}

/** Whether a request may be sent as a trial now. */
export type TrialDecision =
  | "go"
  /** Another copy is being tried, or claims are still in transit. */
  | "wait"
  /** Like `wait`, and the claim must be announced to the other entries. */
  | "claim";

/**
 * Coordinates trials between entries, so that one copy of a request is tried at a time.
 *
 * If all copies were sent as they arrive, ten endpoints would crash before the first crash is detected. A
 * harmless request that was present at three crashes by chance needs only one trial to be answered.
 *
 * Copies waiting at several entries would all be sent at the moment a trial ends, which crashed four and six
 * endpoints at once. Therefore each entry claims the next trial and waits for the claims of others. If claims
 * cross, the one with the lowest rank wins.
 */
export class TrialCoordinator {
  readonly #self: Incarnation;
  readonly #claimDelay: Milliseconds;
  readonly #trials = new Map<CrashSubject, Trial>();

  /**
   * `claimDelay` must exceed the latency of a message between any two entries. With 0, trials are not
   * claimed.
   */
  constructor(self: Incarnation, claimDelay: Milliseconds) {
    this.#self = self;
    this.#claimDelay = claimDelay;
  }

  /** Decides whether a copy of a request may be sent now, and claims the trial if it is free. */
  requestTrial(
    subject: CrashSubject,
    trialRequest: TrialRequest,
    now: Instant,
  ): TrialDecision {
    const { request, relayedBy, crashes } = trialRequest;
    const trial = this.#current(subject, crashes, now);
    if (trial === undefined) {
      return this.#claim(subject, trialRequest, now);
    }
    if (trial.request === request) {
      const settled = trial.sent || now - trial.since >= this.#claimDelay;
      return settled ? "go" : "wait";
    }
    // An entry relays only the request for which it claimed the trial.
    const claimed = !trial.sent && relayedBy !== undefined &&
      trial.from === relayedBy;
    return claimed ? "go" : "wait";
  }

  /** Whether another request with the subject was sent as a trial that has no result yet. */
  isSentByOther(
    subject: CrashSubject,
    { request, crashes }: TrialRequest,
    now: Instant,
  ): boolean {
    const trial = this.#current(subject, crashes, now);
    return trial?.sent === true && trial.request !== request;
  }

  /** Records that this entry sends a copy. */
  begin(
    subject: CrashSubject,
    { request, crashes }: TrialRequest,
    now: Instant,
  ): void {
    const until = after(now, TRIAL_TIMEOUT_MS);
    this.#trials.set(subject, {
      since: now,
      until,
      crashes,
      request,
      from: undefined,
      sent: true,
    });
  }

  /** Records that another entry claims a trial or sends its copy. */
  noteRemote(
    subject: CrashSubject,
    { from, sent, crashes }: {
      from: Incarnation;
      sent: boolean;
      crashes: number;
    },
    now: Instant,
  ): void {
    const pending = this.#current(subject, crashes, now);
    const isOwn = pending?.request !== undefined;
    const keepsOwn = isOwn &&
      (pending.sent || !sent && this.#hasPriority(subject, from));
    if (!keepsOwn) {
      const until = after(now, sent ? TRIAL_TIMEOUT_MS : CLAIM_TIMEOUT_MS);
      this.#trials.set(subject, {
        since: now,
        until,
        crashes,
        request: undefined,
        from,
        sent,
      });
    }
  }

  removeExpired(now: Instant): void {
    for (const [subject, { until }] of this.#trials) {
      if (now >= until) {
        this.#trials.delete(subject);
      }
    }
  }

  #claim(
    subject: CrashSubject,
    { request, crashes }: TrialRequest,
    now: Instant,
  ): TrialDecision {
    if (this.#claimDelay === 0) {
      return "go";
    }
    const until = after(now, CLAIM_TIMEOUT_MS);
    this.#trials.set(subject, {
      since: now,
      until,
      crashes,
      request,
      from: undefined,
      sent: false,
    });
    return "claim";
  }

  #current(
    subject: CrashSubject,
    crashes: number,
    now: Instant,
  ): Trial | undefined {
    const trial = this.#trials.get(subject);
    const ended = trial === undefined || now >= trial.until ||
      crashes > trial.crashes;
    return ended ? undefined : trial;
  }

  /** Whether this entry's claim takes precedence over that of another entry. */
  #hasPriority(subject: CrashSubject, other: Incarnation): boolean {
    return rankOf(subject, this.#self) < rankOf(subject, other);
  }
}

function rankOf(subject: CrashSubject, entry: Incarnation): number {
  return hash32(`${subject} ${entry}`);
}
