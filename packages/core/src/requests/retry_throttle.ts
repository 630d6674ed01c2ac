/**
 * Limits retries to a fraction of successful requests.
 *
 * @module
 */

/** Successes needed for one retry. Whole successes are counted, since ten times 0.1 adds up to less than 1. */
const SUCCESSES_PER_RETRY = 10;
/** Maximum number of retries that can be saved up. */
const MAX_SAVED_RETRIES = 10;

/**
 * Allows one retry for every ten successes. When endpoints fail under load, each retry adds to that load,
 * and unlimited retries could double the traffic while the endpoints are overloaded.
 */
export class RetryThrottle {
  /** What is saved up, as a number of successes. */
  #savedSuccesses = MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY;

  /** Records a success. */
  recordSuccess(): void {
    this.#savedSuccesses = Math.min(
      MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY,
      this.#savedSuccesses + 1,
    );
  }

  /** Takes one retry. Returns `false` if none is left. */
  trySpend(): boolean {
    if (this.#savedSuccesses < SUCCESSES_PER_RETRY) {
      return false;
    }
    this.#savedSuccesses -= SUCCESSES_PER_RETRY;
    return true;
  }
}
