/**
 * How fast engines generate answers at present, whatever else they do, and how many tokens an event holds.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";
import { type AnswerBounds, expectedOutputTokens } from "./answer_length.ts";

/** Assumed until enough is measured. */
const INITIAL_MS_PER_EVENT = 80;
const INITIAL_TOKENS_PER_EVENT = 8;
/** Measured events that count as much as what is assumed. */
const ASSUMED_EVENTS = 40;
/** Measured events from which older ones are forgotten. */
const REMEMBERED_EVENTS = 4_000;
/** Time constant after which older gaps between events count less: load changes within seconds. */
const SPEED_DECAY_MS = 1_500;
/** Gaps that the speed of the service's other engines counts as, for an engine with few of its own. */
const ASSUMED_GAPS = 3;

/** Gaps between events, of which older ones count less. */
class RecentGaps {
  #count = 0;
  #sum = 0;
  #at: Instant | undefined;

  add(ms: number, now: Instant): void {
    this.#decay(now);
    this.#count++;
    this.#sum += ms;
  }

  /** Mean gap, where `assumed` counts like `weight` measured ones. */
  meanWith(assumed: number, weight: number, now: Instant): number {
    this.#decay(now);
    return (this.#sum + assumed * weight) / (this.#count + weight);
  }

  #decay(now: Instant): void {
    const factor = Math.exp(((this.#at ?? now) - now) / SPEED_DECAY_MS);
    this.#count *= factor;
    this.#sum *= factor;
    this.#at = now;
  }
}

/** Speed of the engines of one service. */
export class ServiceDecodeSpeed {
  readonly #gaps = new RecentGaps();
  #expectedTokens = INITIAL_TOKENS_PER_EVENT * ASSUMED_EVENTS;
  #events = ASSUMED_EVENTS;

  /** Mean time between two events of an answer, in milliseconds. */
  msPerEvent(now: Instant): number {
    return this.#gaps.meanWith(INITIAL_MS_PER_EVENT, 1, now);
  }

  /** Tokens in an event of a stream. */
  get tokensPerEvent(): number {
    return this.#expectedTokens / this.#events;
  }

  record(gap: number, now: Instant): void {
    this.#gaps.add(gap, now);
  }

  /** Learns from a complete answer how many tokens an event has: expected lengths are correct in the median. */
  recordComplete(bounds: AnswerBounds, events: number): void {
    if (bounds.outputHint === undefined || events <= 0) {
      return;
    }
    if (this.#events > REMEMBERED_EVENTS) {
      this.#expectedTokens /= 2;
      this.#events /= 2;
    }
    this.#expectedTokens += expectedOutputTokens(bounds);
    this.#events += events;
  }
}

/** Speed of one engine, which is assumed to be that of its service where little is measured. */
export class EngineDecodeSpeed {
  readonly service: ServiceDecodeSpeed;
  readonly #gaps = new RecentGaps();

  constructor(service: ServiceDecodeSpeed) {
    this.service = service;
  }

  /** Tokens of each answer that the engine generates in a millisecond. */
  tokensPerMs(now: Instant): number {
    const usual = this.service.msPerEvent(now);
    return this.service.tokensPerEvent /
      Math.max(1, this.#gaps.meanWith(usual, ASSUMED_GAPS, now));
  }

  record(gap: number, now: Instant): void {
    this.#gaps.add(gap, now);
    this.service.record(gap, now);
  }
}
