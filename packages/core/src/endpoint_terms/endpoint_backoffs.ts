/**
 * Endpoints that refused a request and asked this entry to back off. Logs and metrics call this a rest.
 *
 * An endpoint asks each entry separately, so entries do not inform each other. After the back-off period an
 * endpoint gets a single request, and further ones at intervals that shrink with each request it serves. If it
 * got all waiting requests at once, it would ask to back off again.
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
import type {
  AnswerSummary,
  EndpointLog,
  StatedValue,
} from "./stated_value.ts";

const MS_PER_SECOND = 1_000;
/** Upper bound for a stated back-off period, since an endpoint may have stated a date or a year instead. */
const MAX_BACKOFF_MS = 60_000;
/** Interval between the first requests after a back-off period. Each served request halves it, down to the minimum. */
const INITIAL_SPACING_MS = 200;
const MIN_SPACING_MS = 20;
/** Maximum number of remembered endpoints. */
const MAX_ENDPOINTS = 4_096;

/** A back-off period, and the pace of requests after it. */
interface Backoff {
  readonly life: EndpointLife | undefined;
  until: Instant;
  /** Earliest time of the next request. */
  nextRequestAt: Instant;
  spacingMs: number;
}

/** Back-off periods of endpoints, and the pace of requests after them. */
export class EndpointBackoffs {
  readonly #log: EndpointLog;
  readonly #backoffs = new Map<EndpointId, Backoff>();
  readonly #ignored: IgnoredValues;

  constructor({ log }: { log: EndpointLog }) {
    this.#log = log;
    this.#ignored = new IgnoredValues("Rest of an endpoint is ignored.", log);
  }

  /** Number of invalid values since the process started. */
  get ignored(): number {
    return this.#ignored.count;
  }

  /** Number of endpoints in a back-off period. */
  activeCount(now: Instant): number {
    return [...this.#backoffs.values()].filter(({ until }) => now < until)
      .length;
  }

  /** Time until an endpoint may get a request, 0 if it may get one now. */
  waitFor(record: EndpointRecord, now: Instant): Milliseconds {
    const backoff = this.#find(record);
    return milliseconds(
      backoff === undefined
        ? 0
        : Math.max(0, backoff.until - now, backoff.nextRequestAt - now),
    );
  }

  /** Handles an answer that refuses a request and states for how many seconds to back off. */
  handleAnswer(
    record: EndpointRecord,
    { stated, answer }: { stated: StatedValue; answer: AnswerSummary },
    now: Instant,
  ): void {
    if (stated.kind === "invalid") {
      return this.#ignored.note(record, { stated, answer });
    }
    const durationMs = Math.min(MAX_BACKOFF_MS, stated.value * MS_PER_SECOND);
    const until = after(now, durationMs);
    const before = this.waitFor(record, now);
    if (until <= now + before) {
      return;
    }
    const { id, life, service } = record;
    this.#backoffs.delete(id);
    this.#backoffs.set(id, {
      life,
      until,
      nextRequestAt: until,
      spacingMs: INITIAL_SPACING_MS,
    });
    if (this.#backoffs.size > MAX_ENDPOINTS) {
      const [oldest] = this.#backoffs.keys();
      this.#backoffs.delete(oldest!);
    }
    this.#log("Endpoint wants rest.", {
      endpoint: id,
      service,
      restMs: Math.round(durationMs),
      statedS: stated.value,
      beforeMs: Math.round(before),
      ...answer,
    });
  }

  /** Records that a request is sent to an endpoint. */
  recordSent(record: EndpointRecord, now: Instant): void {
    const backoff = this.#find(record);
    if (backoff !== undefined && now >= backoff.until) {
      backoff.nextRequestAt = after(now, backoff.spacingMs);
    }
  }

  /** Records that an endpoint served a request. */
  recordServed(record: EndpointRecord, now: Instant): void {
    const backoff = this.#find(record);
    if (backoff === undefined || now < backoff.until) {
      return;
    }
    backoff.spacingMs /= 2;
    if (backoff.spacingMs < MIN_SPACING_MS) {
      this.#backoffs.delete(record.id);
      this.#log("Endpoint is back from its rest.", { endpoint: record.id });
    }
  }

  #find({ id, life }: EndpointRecord): Backoff | undefined {
    const backoff = this.#backoffs.get(id);
    return backoff !== undefined && isSameLife(backoff, { life })
      ? backoff
      : undefined;
  }
}
