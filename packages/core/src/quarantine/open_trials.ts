/**
 * Requests that were at several ends, sent one at a time until it is known what they do.
 *
 * @module
 */
import {
  after,
  type ContentDigest,
  hash32,
  type Incarnation,
  type Instant,
  type Milliseconds,
  type RequestId,
} from "../ids/index.ts";

/** A trial without any news is over: longer than the end of an endpoint takes to be known. */
const TRIAL_MS = 5_000;
/** A claim that is not followed by its trial: the request has gone, or found no endpoint. */
const CLAIM_LIFETIME_MS = 600;

interface Trial {
  readonly since: Instant;
  readonly until: Instant;
  /** Ends known under the request when it began: with another end it is over. */
  readonly ends: number;
  /** `undefined` for one of another entry. */
  readonly request: RequestId | undefined;
  readonly sent: boolean;
}

/** A request that asks for its trial. */
export interface TrialRequest {
  readonly request: RequestId;
  /** Ends known under it. */
  readonly ends: number;
}

/** What becomes of a request that asks. */
export type TrialAnswer =
  | "go"
  /** Another copy is tried, or claims are still under way. */
  | "wait"
  /** As `wait`; the others have to be told of the claim. */
  | "claim";

/**
 * While all copies of a request are sent as they come, ten endpoints end before the end of the first is
 * known; and a good request that was unlucky three times needs only one chance to be answered.
 *
 * Copies that wait at several entries would all go in the moment at which a trial is over: four and six
 * endpoints ended at once. So each entry claims the next trial and waits for the others' claims; of those
 * that cross the one of the lowest rank goes.
 */
export class OpenTrials {
  readonly #self: Incarnation;
  readonly #claimTime: Milliseconds;
  readonly #trials = new Map<ContentDigest, Trial>();

  /** `claimTime`: longer than a message takes between any two entries; 0 for no claims. */
  constructor(self: Incarnation, claimTime: Milliseconds) {
    this.#self = self;
    this.#claimTime = claimTime;
  }

  /** Whether a copy may be sent now. */
  ask(
    content: ContentDigest,
    { request, ends }: TrialRequest,
    now: Instant,
  ): TrialAnswer {
    const trial = this.#open(content, ends, now);
    if (trial === undefined) {
      return this.#claim(content, { request, ends }, now);
    }
    const own = trial.request === request;
    const settled = trial.sent || now - trial.since >= this.#claimTime;
    return own && settled ? "go" : "wait";
  }

  /** This entry sends a copy. */
  begin(
    content: ContentDigest,
    { request, ends }: TrialRequest,
    now: Instant,
  ): void {
    const until = after(now, TRIAL_MS);
    this.#trials.set(content, { since: now, until, ends, request, sent: true });
  }

  /** Another entry claims a trial, or sends its copy. */
  learn(
    content: ContentDigest,
    { from, sent, ends }: { from: Incarnation; sent: boolean; ends: number },
    now: Instant,
  ): void {
    const known = this.#open(content, ends, now);
    const own = known?.request !== undefined;
    const keeps = own && (known.sent || !sent && this.#isFirst(content, from));
    if (!keeps) {
      const until = after(now, sent ? TRIAL_MS : CLAIM_LIFETIME_MS);
      const request = undefined;
      this.#trials.set(content, { since: now, until, ends, request, sent });
    }
  }

  forget(now: Instant): void {
    for (const [content, { until }] of this.#trials) {
      if (now >= until) {
        this.#trials.delete(content);
      }
    }
  }

  #claim(
    content: ContentDigest,
    { request, ends }: TrialRequest,
    now: Instant,
  ): TrialAnswer {
    if (this.#claimTime === 0) {
      return "go";
    }
    const until = after(now, CLAIM_LIFETIME_MS);
    this.#trials.set(content, {
      since: now,
      until,
      ends,
      request,
      sent: false,
    });
    return "claim";
  }

  #open(
    content: ContentDigest,
    ends: number,
    now: Instant,
  ): Trial | undefined {
    const trial = this.#trials.get(content);
    const over = trial === undefined || now >= trial.until ||
      ends > trial.ends;
    return over ? undefined : trial;
  }

  /** Whether this entry's claim goes before another's. */
  #isFirst(content: ContentDigest, other: Incarnation): boolean {
    return rankOf(content, this.#self) < rankOf(content, other);
  }
}

function rankOf(content: ContentDigest, entry: Incarnation): number {
  return hash32(`${content} ${entry}`);
}
