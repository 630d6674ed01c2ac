/**
 * How fast an endpoint is at present, compared with its usual speed.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Reported contention of a machine that is as fast as usual. */
export const USUAL_CONTENTION = 100;

/** The pace of one endpoint. */
export class EndpointPace {
  #contention: number | undefined;
  #reportedAt: Instant | undefined;

  /** Whether the endpoint has reported contention. */
  get isReported(): boolean {
    return this.#contention !== undefined;
  }

  /** The contention last reported, and when, `undefined` if none was. */
  get reported(): { contention: number; at: Instant } | undefined {
    return this.#contention === undefined || this.#reportedAt === undefined
      ? undefined
      : { contention: this.#contention, at: this.#reportedAt };
  }

  /** Records how long work takes on the endpoint's machine, as a percentage of the usual time. */
  recordContention(contention: number, now: Instant): void {
    this.#contention = contention;
    this.#reportedAt = now;
  }

  /** Expected duration of work on the endpoint, relative to its usual one. */
  slowdown(_now: Instant): number {
    return 1;
  }
}
