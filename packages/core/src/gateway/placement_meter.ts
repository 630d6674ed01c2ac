/**
 * Counts the requests that this entry sent to endpoints within the last second.
 *
 * @module
 */
import type { PlacedGroup } from "../demand/index.ts";
import type { Instant, ServiceId } from "../ids/index.ts";
import { ArrivalMeter } from "./arrival_meter.ts";

/** Sums of placed requests and of the prompt tokens that engines had to prefill for them, by service. */
export class PlacementMeter {
  readonly #requests = new ArrivalMeter();
  readonly #tokens = new ArrivalMeter();

  add(service: ServiceId, prefill: number, now: Instant): void {
    this.#requests.add(service, 1, now);
    this.#tokens.add(service, prefill, now);
  }

  /** What was placed within the last second. */
  lastSecond(now: Instant): PlacedGroup[] {
    return [...this.#requests.services()].map((service) => ({
      service,
      requests: this.#requests.lastSecond(service, now),
      tokens: Math.round(this.#tokens.lastSecond(service, now)),
    })).filter(({ requests }) => requests > 0);
  }
}
