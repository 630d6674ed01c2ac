/**
 * Endpoints that say in their answers that they leave.
 *
 * @module
 */
import type { EndpointId, EndpointLife, Instant } from "../ids/index.ts";
import { type EndpointRecord, isSameLife } from "../routes/index.ts";
import type { StatingAnswer, TermsLog } from "./stated.ts";

/** Endpoints that are remembered; each start of one may have an id of its own. */
const MOST_ENDPOINTS = 4_096;

/** A life of an endpoint that leaves. */
export interface Departure {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
}

/** What is known of endpoints that leave. */
export class EndpointDepartures {
  readonly #log: TermsLog;
  readonly #departures = new Map<EndpointId, Departure>();

  constructor({ log }: { log: TermsLog }) {
    this.#log = log;
  }

  /** Endpoints that leave, as far as is remembered. */
  get size(): number {
    return this.#departures.size;
  }

  /** Whether this life of an endpoint leaves. */
  has({ id, life }: Pick<EndpointRecord, "id" | "life">): boolean {
    const known = this.#departures.get(id);
    return known !== undefined && isSameLife(known, { life });
  }

  /** An answer says that its endpoint leaves. */
  hear(
    { id: endpoint, life, service, state }: EndpointRecord,
    answer: StatingAnswer,
    _now: Instant,
  ): void {
    if (this.#learn({ endpoint, life })) {
      this.#log("Endpoint leaves.", {
        endpoint,
        service,
        record: state,
        ...answer,
      });
    }
  }

  #learn(departure: Departure): boolean {
    const { endpoint: id, life } = departure;
    if (this.has({ id, life })) {
      return false;
    }
    this.#departures.set(id, departure);
    if (this.#departures.size > MOST_ENDPOINTS) {
      const [oldest] = this.#departures.keys();
      this.#departures.delete(oldest!);
    }
    return true;
  }
}
