/**
 * The usual speed of a service's endpoints, which the pace of each is compared with.
 *
 * @module
 */
import { ContentionModel } from "./contention_model.ts";

/** Weight of the newest measurement in the average time of an answer. */
const AVERAGE_WEIGHT = 0.05;
/** Measurements that are averaged with equal weight at the start. */
const INITIAL_MEASUREMENTS = 1 / AVERAGE_WEIGHT;
/** Largest ratio of a measurement to the average: longer ones were queued behind something unknown. */
const MAX_DEVIATION = 2;

/** Usual durations at the endpoints of one service. */
export class ServicePace {
  readonly contention = new ContentionModel();
  /** Whether decisions use the pace of this service's endpoints. */
  isEnabled = false;
  #answerTime: number | undefined;
  #measurements = 0;

  /** Whether the pace counts: it is enabled, and endpoints report contention. */
  get isInUse(): boolean {
    return this.isEnabled && this.contention.isReported;
  }

  /** Usual milliseconds until a plain endpoint's answer at average contention, `undefined` until measured. */
  get answerTime(): number | undefined {
    return this.#answerTime;
  }

  /** Adds a measurement of any of the endpoints, corrected for contention. */
  learn(answerTime: number): void {
    this.#measurements++;
    if (this.#answerTime === undefined) {
      this.#answerTime = answerTime;
      return;
    }
    const weight = Math.max(
      AVERAGE_WEIGHT,
      1 / Math.min(this.#measurements, INITIAL_MEASUREMENTS),
    );
    const ratio = Math.max(
      1 / MAX_DEVIATION,
      Math.min(MAX_DEVIATION, answerTime / this.#answerTime),
    );
    this.#answerTime *= ratio ** weight;
  }
}
