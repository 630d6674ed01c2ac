/**
 * How fast engines generate answers while they prefill nothing, learned from the events of answers.
 *
 * @module
 */
import { type AnswerBounds, expectedOutputTokens } from "./answer_length.ts";

/** Assumed until enough is measured. */
const INITIAL_MS_PER_TOKEN = 5;
const INITIAL_TOKENS_PER_EVENT = 8;
/** Measured tokens that count as much as what is assumed. */
const ASSUMED_TOKENS = 400;
const ASSUMED_EVENTS = 40;
/** Measured tokens from which older ones are forgotten: batches grow and shrink within seconds. */
const REMEMBERED_TOKENS = 4_000;
const REMEMBERED_EVENTS = 4_000;

/** A mean whose older values count less and less, beginning with an assumed one. */
class ForgettingRatio {
  #numerator = 0;
  #denominator = 0;
  readonly #remembered: number;

  constructor(remembered: number) {
    this.#remembered = remembered;
  }

  add(numerator: number, denominator: number): void {
    if (this.#denominator > this.#remembered) {
      this.#numerator /= 2;
      this.#denominator /= 2;
    }
    this.#numerator += numerator;
    this.#denominator += denominator;
  }

  /** The ratio, where `assumed` counts like measured values with the denominator `weight`. */
  valueWith(assumed: number, weight: number): number {
    return (this.#numerator + assumed * weight) / (this.#denominator + weight);
  }
}

/** Speed of the engines of one service. */
export class ServiceDecodeSpeed {
  readonly #msPerToken = new ForgettingRatio(REMEMBERED_TOKENS);
  readonly #tokensPerEvent = new ForgettingRatio(REMEMBERED_EVENTS);

  /** Time for one token of an answer without prefill, in milliseconds. */
  get msPerToken(): number {
    return this.#msPerToken.valueWith(INITIAL_MS_PER_TOKEN, ASSUMED_TOKENS);
  }

  /** Tokens in an event of a stream. */
  get tokensPerEvent(): number {
    return this.#tokensPerEvent.valueWith(
      INITIAL_TOKENS_PER_EVENT,
      ASSUMED_EVENTS,
    );
  }

  record(ms: number, tokens: number): void {
    this.#msPerToken.add(ms, tokens);
  }

  /** Learns from a complete answer how many tokens an event has: expected lengths are correct in the median. */
  recordComplete(bounds: AnswerBounds, events: number): void {
    if (bounds.outputHint !== undefined && events > 0) {
      this.#tokensPerEvent.add(expectedOutputTokens(bounds), events);
    }
  }
}

/** Speed of one engine, which is assumed to be that of its service until enough is measured. */
export class EngineDecodeSpeed {
  readonly service: ServiceDecodeSpeed;
  readonly #msPerToken = new ForgettingRatio(REMEMBERED_TOKENS);

  constructor(service: ServiceDecodeSpeed) {
    this.service = service;
  }

  get msPerToken(): number {
    return this.#msPerToken.valueWith(this.service.msPerToken, ASSUMED_TOKENS);
  }

  record(ms: number, events: number): void {
    const tokens = events * this.service.tokensPerEvent;
    this.#msPerToken.add(ms, tokens);
    this.service.record(ms, tokens);
  }
}
