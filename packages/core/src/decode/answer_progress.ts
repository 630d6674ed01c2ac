/**
 * How fast one answer has to be generated to be complete at its deadline.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";
import { type AnswerBounds, plannedOutputTokens } from "./answer_length.ts";

/** Time before the deadline at which the last token should be generated: it still has to reach the caller. */
const DELIVERY_MS = 200;
/** Least time that counts as left, so that an answer which is nearly over its time needs no endless rate. */
const MIN_TIME_LEFT_MS = 500;

/** An answer that an engine generates. */
export class AnswerProgress {
  readonly #bounds: AnswerBounds;
  readonly #endsAt: Instant;
  /** Events that have arrived. */
  events: number;
  lastEventAt: Instant | undefined;

  /** `events` is the number of events that the caller received before, of a stream that is resumed. */
  constructor(
    bounds: AnswerBounds,
    { endsAt, events }: { endsAt: Instant; events: number },
  ) {
    this.#bounds = bounds;
    this.#endsAt = endsAt;
    this.events = events;
  }

  get bounds(): AnswerBounds {
    return this.#bounds;
  }

  /** Tokens per millisecond that it needs from now on, with `tokensPerEvent` in each event. */
  neededRate(tokensPerEvent: number, now: Instant): number {
    const generated = this.events * tokensPerEvent;
    const planned = plannedOutputTokens(this.#bounds, generated);
    const timeLeft = this.#endsAt - DELIVERY_MS - now;
    return Math.max(0, planned - generated) /
      Math.max(MIN_TIME_LEFT_MS, timeLeft);
  }
}
