/**
 * Requests that were at several ends, sent one at a time until it is known what they do.
 *
 * @module
 */
import type { ContentDigest, Instant, RequestId } from "../ids/index.ts";

/** A trial without any news is over: longer than the end of an endpoint takes to be known. */
const TRIAL_MS = 5_000;

interface Trial {
  readonly since: Instant;
  /** Ends known under the request when it was sent. */
  readonly ends: number;
  /** `undefined` for one of another entry. */
  readonly request: RequestId | undefined;
}

/**
 * While all copies of a request are sent as they come, ten endpoints end before the end of the first is
 * known; and a good request that was unlucky three times needs only one chance to be answered.
 */
export class OpenTrials {
  readonly #trials = new Map<ContentDigest, Trial>();

  /** Whether another request waits for the outcome of a trial. */
  blocks(
    content: ContentDigest,
    { request, ends }: { request: RequestId; ends: number },
    now: Instant,
  ): boolean {
    const trial = this.#trials.get(content);
    return trial !== undefined && trial.request !== request &&
      ends <= trial.ends && now - trial.since < TRIAL_MS;
  }

  begin(
    content: ContentDigest,
    { request, ends }: { request: RequestId | undefined; ends: number },
    now: Instant,
  ): void {
    this.#trials.set(content, { since: now, ends, request });
  }

  forget(now: Instant): void {
    for (const [content, { since }] of this.#trials) {
      if (now - since >= TRIAL_MS) {
        this.#trials.delete(content);
      }
    }
  }
}
