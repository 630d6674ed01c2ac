/**
 * The answers that one engine generates, and the share of its time that they leave for prefill.
 *
 * @module
 */
import type { AttemptId, Incarnation, Instant } from "../ids/index.ts";
import type { AnswerBounds } from "./answer_length.ts";
import { AnswerProgress } from "./answer_progress.ts";
import { EngineDecodeSpeed, type ServiceDecodeSpeed } from "./decode_speed.ts";

/**
 * Bounds of the share of its time that an engine may prefill beside answers. A step with prefill takes far longer than
 * one without, so that this share decides how fast the answers come. Those that need more than the lower bound leaves
 * must not keep all long prompts waiting.
 */
export const MAX_PREFILL_SHARE = 0.75;
export const MIN_PREFILL_SHARE = 0.35;
/** Pressure up to which answers limit no prefill, and from which they leave the least. */
const LOW_PRESSURE = 1.2;
const HIGH_PRESSURE = 1.7;
/** Time for which a measured pressure is used again. */
const PRESSURE_LIFETIME_MS = 50;
/** Longest gap between events that tells the engine's speed: with a longer one something else was wrong. */
const MAX_MEASURED_GAP_MS = 2_000;

/** The answers in progress at one engine, of this entry and its peers. */
export class EngineAnswers {
  readonly #speed: EngineDecodeSpeed;
  readonly #answers = new Map<AttemptId, AnswerProgress>();
  readonly #peerPressures = new Map<Incarnation, number>();
  #ownPressure = 0;
  #measuredAt: Instant | undefined;

  constructor(service: ServiceDecodeSpeed) {
    this.#speed = new EngineDecodeSpeed(service);
  }

  begin(
    attempt: AttemptId,
    bounds: AnswerBounds,
    progress: { endsAt: Instant; events: number },
  ): void {
    this.#answers.set(attempt, new AnswerProgress(bounds, progress));
    this.#measuredAt = undefined;
  }

  noteEvent(attempt: AttemptId, now: Instant): void {
    const answer = this.#answers.get(attempt);
    if (answer === undefined) {
      return;
    }
    answer.events++;
    const gap = now - (answer.lastEventAt ?? now);
    if (answer.lastEventAt !== undefined && gap <= MAX_MEASURED_GAP_MS) {
      this.#speed.record(gap, now);
    }
    answer.lastEventAt = now;
  }

  /** Removes an answer that has ended. */
  end(attempt: AttemptId, complete: boolean): void {
    const answer = this.#answers.get(attempt);
    if (answer !== undefined && complete) {
      this.#speed.service.recordComplete(answer.bounds, answer.events);
    }
    this.#answers.delete(attempt);
    this.#measuredAt = undefined;
  }

  /** Sets the pressure of a peer's answers, 0 for none. */
  setPeerPressure(peer: Incarnation, pressure: number): void {
    if (pressure > 0) {
      this.#peerPressures.set(peer, pressure);
    } else {
      this.#peerPressures.delete(peer);
    }
  }

  /** The rate that the most demanding of this entry's answers needs, relative to the engine's present one. */
  ownPressure(now: Instant): number {
    if (
      this.#measuredAt === undefined ||
      now - this.#measuredAt > PRESSURE_LIFETIME_MS
    ) {
      const { tokensPerEvent } = this.#speed.service;
      let need = 0;
      for (const answer of this.#answers.values()) {
        need = Math.max(need, answer.neededRate(tokensPerEvent, now));
      }
      this.#ownPressure = need / this.#speed.tokensPerMs(now);
      this.#measuredAt = now;
    }
    return this.#ownPressure;
  }

  /** Whether this entry's answers limit what the engine may prefill. */
  limitsPrefill(now: Instant): boolean {
    return this.ownPressure(now) > LOW_PRESSURE;
  }

  /** Share of its time that the engine may prefill so that its answers are complete in time. */
  maxPrefillShare(now: Instant): number {
    return shareUnder(this.#pressure(now));
  }

  /** By how much another answer would lower that share. */
  shareTakenBy(bounds: AnswerBounds, endsAt: Instant, now: Instant): number {
    const present = this.#pressure(now);
    const answer = new AnswerProgress(bounds, { endsAt, events: 0 });
    const pressure =
      answer.neededRate(this.#speed.service.tokensPerEvent, now) /
      this.#speed.tokensPerMs(now);
    return pressure <= present ? 0 : shareUnder(present) - shareUnder(pressure);
  }

  #pressure(now: Instant): number {
    return Math.max(this.ownPressure(now), ...this.#peerPressures.values());
  }
}

function shareUnder(pressure: number): number {
  const excess = (pressure - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE);
  return MAX_PREFILL_SHARE -
    (MAX_PREFILL_SHARE - MIN_PREFILL_SHARE) *
      Math.max(0, Math.min(1, excess));
}
