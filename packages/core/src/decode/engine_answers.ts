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
export const MIN_PREFILL_SHARE = 0.55;
/** Time for which a needed rate is used again. */
const NEED_LIFETIME_MS = 50;
/** Longest gap between events that tells the engine's speed: with a longer one something else was wrong. */
const MAX_MEASURED_GAP_MS = 2_000;

/** The answers in progress at one engine, of this entry and its peers. */
export class EngineAnswers {
  readonly speed: EngineDecodeSpeed;
  readonly #answers = new Map<AttemptId, AnswerProgress>();
  readonly #peerNeeds = new Map<Incarnation, number>();
  #ownNeed = 0;
  #measuredAt: Instant | undefined;

  constructor(service: ServiceDecodeSpeed) {
    this.speed = new EngineDecodeSpeed(service);
  }

  begin(
    attempt: AttemptId,
    bounds: AnswerBounds,
    progress: { endsAt: Instant; events: number },
  ): void {
    this.#answers.set(attempt, new AnswerProgress(bounds, progress));
    this.#measuredAt = undefined;
  }

  /** Records an event. `prefillTime` is the time that the engine has spent on prefill so far. */
  noteEvent(attempt: AttemptId, prefillTime: number, now: Instant): void {
    const answer = this.#answers.get(attempt);
    if (answer === undefined) {
      return;
    }
    answer.events++;
    const gap = now - (answer.lastEventAt ?? now);
    if (answer.lastEventAt !== undefined && gap <= MAX_MEASURED_GAP_MS) {
      const prefilled = prefillTime - answer.lastPrefillTime;
      this.speed.record(Math.max(0, gap - prefilled), 1);
    }
    answer.lastEventAt = now;
    answer.lastPrefillTime = prefillTime;
  }

  /** Removes an answer that has ended. */
  end(attempt: AttemptId, complete: boolean): void {
    const answer = this.#answers.get(attempt);
    if (answer !== undefined && complete) {
      this.speed.service.recordComplete(answer.bounds, answer.events);
    }
    this.#answers.delete(attempt);
    this.#measuredAt = undefined;
  }

  /** Sets the rate that a peer's answers need, 0 for none. */
  setPeerNeed(peer: Incarnation, rate: number): void {
    if (rate > 0) {
      this.#peerNeeds.set(peer, rate);
    } else {
      this.#peerNeeds.delete(peer);
    }
  }

  /** Tokens per millisecond that the most demanding of this entry's answers needs. */
  ownNeed(now: Instant): number {
    if (
      this.#measuredAt === undefined ||
      now - this.#measuredAt > NEED_LIFETIME_MS
    ) {
      const { tokensPerEvent } = this.speed.service;
      let need = 0;
      for (const answer of this.#answers.values()) {
        need = Math.max(need, answer.neededRate(tokensPerEvent, now));
      }
      this.#ownNeed = need;
      this.#measuredAt = now;
    }
    return this.#ownNeed;
  }

  /** Whether this entry's answers limit what the engine may prefill. */
  limitsPrefill(now: Instant): boolean {
    return this.ownNeed(now) * this.speed.msPerToken > 1 - MAX_PREFILL_SHARE;
  }

  /** Share of its time that the engine may prefill so that its answers are complete in time. */
  maxPrefillShare(now: Instant): number {
    return this.#shareBeside(this.#need(now));
  }

  /** By how much another answer would lower that share. */
  shareTakenBy(
    bounds: AnswerBounds,
    endsAt: Instant,
    now: Instant,
  ): number {
    const need = this.#need(now);
    const answer = new AnswerProgress(bounds, { endsAt, events: 0 });
    const rate = answer.neededRate(this.speed.service.tokensPerEvent, now);
    return rate <= need ? 0 : this.#shareBeside(need) - this.#shareBeside(rate);
  }

  #need(now: Instant): number {
    return Math.max(this.ownNeed(now), ...this.#peerNeeds.values());
  }

  #shareBeside(need: number): number {
    return Math.max(
      MIN_PREFILL_SHARE,
      Math.min(MAX_PREFILL_SHARE, 1 - need * this.speed.msPerToken),
    );
  }
}
