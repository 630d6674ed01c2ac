/**
 * Counts the requests that this entry sent to endpoints within the last second.
 *
 * @module
 */
import type { PlacedGroup } from "../demand/index.ts";
import type { CustomerId, Instant, ServiceId } from "../ids/index.ts";
import { ArrivalMeter } from "./arrival_meter.ts";

/** Requests of one customer, and the prompt tokens that engines had to prefill for them. */
interface PlacementSums {
  readonly customer: CustomerId | undefined;
  readonly requests: ArrivalMeter;
  readonly tokens: ArrivalMeter;
}

/** Sums of placed requests and of the prompt tokens that engines had to prefill for them, by service and customer. */
export class PlacementMeter {
  readonly #customers = new Map<CustomerId | undefined, PlacementSums>();

  add(
    service: ServiceId,
    { customer, prefill }: {
      customer: CustomerId | undefined;
      prefill: number;
    },
    now: Instant,
  ): void {
    let sums = this.#customers.get(customer);
    if (sums === undefined) {
      sums = {
        customer,
        requests: new ArrivalMeter(),
        tokens: new ArrivalMeter(),
      };
      this.#customers.set(customer, sums);
    }
    sums.requests.add(service, 1, now);
    sums.tokens.add(service, prefill, now);
  }

  /** What was placed within the last second. Forgets customers without requests in it. */
  lastSecond(now: Instant): PlacedGroup[] {
    const groups: PlacedGroup[] = [];
    for (const { customer, requests, tokens } of this.#customers.values()) {
      const count = groups.length;
      for (const service of requests.services()) {
        const placed = requests.lastSecond(service, now);
        if (placed > 0) {
          groups.push({
            service,
            customer,
            requests: placed,
            tokens: Math.round(tokens.lastSecond(service, now)),
          });
        }
      }
      if (groups.length === count) {
        this.#customers.delete(customer);
      }
    }
    return groups;
  }
}
