/**
 * Endpoints that turned a request away and want nothing from this entry for a while.
 *
 * An endpoint asks each entry for itself, so that the others are not told. After its rest it gets one
 * request, and the next ones the closer together the more it has served: all that waits for it, at once,
 * would have it ask for rest again.
 *
 * @module
 */
import {
  after,
  type EndpointId,
  type EndpointLife,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import { type EndpointRecord, isSameLife } from "../routes/index.ts";
import { IgnoredValues } from "./ignored_values.ts";
import type { Stated, StatingAnswer, TermsLog } from "./stated.ts";

const MS_PER_SECOND = 1_000;
/** No endpoint is left alone for longer on its word: it may have stated a date or a year. */
const MOST_REST_MS = 60_000;
/** Between the first requests after a rest; each that is served halves it, down to the least. */
const FIRST_SPACING_MS = 200;
const LEAST_SPACING_MS = 20;
/** Endpoints that are remembered. */
const MOST_ENDPOINTS = 4_096;

interface Rest {
  readonly life: EndpointLife | undefined;
  until: Instant;
  /** When the next request may be sent after the rest. */
  nextAt: Instant;
  spacing: number;
}

/** What is known of endpoints that rest. */
export class EndpointRests {
  readonly #log: TermsLog;
  readonly #rests = new Map<EndpointId, Rest>();
  readonly #ignored: IgnoredValues;

  constructor({ log }: { log: TermsLog }) {
    this.#log = log;
    this.#ignored = new IgnoredValues("Rest of an endpoint is ignored.", log);
  }

  /** Values that were ignored since the start. */
  get ignored(): number {
    return this.#ignored.count;
  }

  /** Endpoints that rest at present. */
  resting(now: Instant): number {
    return [...this.#rests.values()].filter(({ until }) => now < until).length;
  }

  /** Time until an endpoint may get a request, 0 for one that may get it now. */
  waitFor(record: EndpointRecord, now: Instant): Milliseconds {
    const rest = this.#find(record);
    return milliseconds(
      rest === undefined ? 0 : Math.max(0, rest.until - now, rest.nextAt - now),
    );
  }

  /** An endpoint turned a request away and states for how many seconds it wants rest. */
  hear(
    record: EndpointRecord,
    { stated, answer }: { stated: Stated; answer: StatingAnswer },
    now: Instant,
  ): void {
    if (stated.kind === "invalid") {
      return this.#ignored.note(record, { stated, answer });
    }
    const time = Math.min(MOST_REST_MS, stated.value * MS_PER_SECOND);
    const until = after(now, time);
    const before = this.waitFor(record, now);
    if (until <= now + before) {
      return;
    }
    const { id, life, service } = record;
    this.#rests.delete(id);
    this.#rests.set(id, {
      life,
      until,
      nextAt: until,
      spacing: FIRST_SPACING_MS,
    });
    if (this.#rests.size > MOST_ENDPOINTS) {
      const [oldest] = this.#rests.keys();
      this.#rests.delete(oldest!);
    }
    this.#log("Endpoint wants rest.", {
      endpoint: id,
      service,
      restMs: Math.round(time),
      statedS: stated.value,
      beforeMs: Math.round(before),
      ...answer,
    });
  }

  /** A request is sent to an endpoint. */
  noteSent(record: EndpointRecord, now: Instant): void {
    const rest = this.#find(record);
    if (rest !== undefined && now >= rest.until) {
      rest.nextAt = after(now, rest.spacing);
    }
  }

  /** An endpoint served a request. */
  noteServed(record: EndpointRecord, now: Instant): void {
    const rest = this.#find(record);
    if (rest === undefined || now < rest.until) {
      return;
    }
    rest.spacing /= 2;
    if (rest.spacing < LEAST_SPACING_MS) {
      this.#rests.delete(record.id);
      this.#log("Endpoint is back from its rest.", { endpoint: record.id });
    }
  }

  #find({ id, life }: EndpointRecord): Rest | undefined {
    const rest = this.#rests.get(id);
    return rest !== undefined && isSameLife(rest, { life }) ? rest : undefined;
  }
}
