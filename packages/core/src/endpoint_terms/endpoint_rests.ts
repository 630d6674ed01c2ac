/**
 * Endpoints that turned a request away and want nothing from this entry for a while.
 *
 * @module
 */
import { after, type EndpointId, type Instant } from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { Stated, StatingAnswer, TermsLog } from "./stated.ts";

const MS_PER_SECOND = 1_000;
/** No endpoint is left alone for longer on its word: it may have stated a date or a year. */
const MOST_REST_MS = 60_000;
/** Endpoints that are remembered. */
const MOST_ENDPOINTS = 4_096;

interface Rest {
  readonly until: Instant;
}

/** What is known of endpoints that rest. */
export class EndpointRests {
  readonly #log: TermsLog;
  readonly #rests = new Map<EndpointId, Rest>();
  readonly #ignoredTexts = new Map<EndpointId, string>();
  /** Values that were ignored since the start. */
  ignored = 0;

  constructor({ log }: { log: TermsLog }) {
    this.#log = log;
  }

  /** Endpoints that rest at present. */
  resting(now: Instant): number {
    return [...this.#rests.values()].filter(({ until }) => now < until).length;
  }

  /** An endpoint turned a request away and states for how many seconds it wants rest. */
  hear(
    { id, service }: EndpointRecord,
    { stated, answer }: { stated: Stated; answer: StatingAnswer },
    now: Instant,
  ): void {
    if (stated.kind === "invalid") {
      const { text, reason } = stated;
      this.ignored++;
      if (this.#ignoredTexts.get(id) !== text) {
        this.#ignoredTexts.set(id, text);
        const fields = { endpoint: id, text, reason, ...answer };
        this.#log("Rest of an endpoint is ignored.", fields);
      }
      return;
    }
    const time = Math.min(MOST_REST_MS, stated.value * MS_PER_SECOND);
    const known = this.#rests.get(id)?.until ?? now;
    const until = after(now, time);
    if (until > known) {
      this.#rests.set(id, { until });
      this.#log("Endpoint wants rest.", {
        endpoint: id,
        service,
        restMs: Math.round(time),
        statedS: stated.value,
        beforeMs: Math.max(0, Math.round(known - now)),
        ...answer,
      });
    }
    if (this.#rests.size > MOST_ENDPOINTS) {
      const [oldest] = this.#rests.keys();
      this.#rests.delete(oldest!);
    }
  }
}
