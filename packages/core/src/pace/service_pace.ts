/**
 * The usual speed of a service's endpoints, which the pace of each is compared with.
 *
 * @module
 */
import { ContentionModel } from "./contention_model.ts";

/** Weight of the newest measurement in the average duration of a unit of work. */
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
  #unitTime: number | undefined;
  #measurements = 0;

  /** Whether the pace counts: it is enabled, and endpoints report contention. */
  get isInUse(): boolean {
    return this.isEnabled && this.contention.isReported;
  }

  /**
   * Usual milliseconds for a unit of work (a prompt token, or a whole plain request) without contention, `undefined`
   * until measured.
   */
  get unitTime(): number | undefined {
    return this.#unitTime;
  }

  /** Adds a measurement of any of the endpoints, corrected for contention. */
  learn(unitTime: number): void {
    this.#measurements++;
    if (this.#unitTime === undefined) {
      this.#unitTime = unitTime;
      return;
    }
    const weight = Math.max(
      AVERAGE_WEIGHT,
      1 / Math.min(this.#measurements, INITIAL_MEASUREMENTS),
    );
    const ratio = Math.max(
      1 / MAX_DEVIATION,
      Math.min(MAX_DEVIATION, unitTime / this.#unitTime),
    );
    this.#unitTime *= ratio ** weight;
  }
}
