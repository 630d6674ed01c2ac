/**
 * Measured queue waits of recent requests.
 *
 * @module
 */
import type { Instant, Milliseconds, ServiceId } from "../ids/index.ts";
import { milliseconds } from "../ids/index.ts";

/** Weight of the newest wait in the moving average. */
const NEWEST_WAIT_WEIGHT = 0.2;
/** Time after which an average is too old to be used. */
const WAIT_LIFETIME_MS = 3_000;

/**
 * Moving averages of the measured waits of each service. Predicted waits are based on this entry's requests and
 * on delayed load reports. Under overload all entries queue for the same slots and each predicts waits that are
 * too short, so requests would wait here although another region would serve them sooner. The measured waits
 * correct the prediction.
 */
export class RecentWaits {
  readonly #waits = new Map<ServiceId, { average: number; at: Instant }>();

  /** Records the wait of a request that leaves its queue. */
  record(service: ServiceId, wait: number, now: Instant): void {
    const known = this.#waits.get(service);
    const isRecent = known !== undefined && now - known.at <= WAIT_LIFETIME_MS;
    const average = isRecent
      ? known.average + (wait - known.average) * NEWEST_WAIT_WEIGHT
      : wait;
    this.#waits.set(service, { average, at: now });
  }

  /** Returns the average of recent waits, 0 if there are none. */
  averageOf(service: ServiceId, now: Instant): Milliseconds {
    const known = this.#waits.get(service);
    return milliseconds(
      known !== undefined && now - known.at <= WAIT_LIFETIME_MS
        ? known.average
        : 0,
    );
  }
}
