/**
 * What an entry knows about one endpoint besides its record: work in flight, prefill state, cached
 * prefixes, health.
 *
 * @module
 */
import {
  type AnswerBounds,
  EngineAnswers,
  ServiceDecodeSpeed,
} from "../decode/index.ts";
import type { EndpointWork } from "../fleet/index.ts";
import {
  after,
  type AttemptId,
  type Instant,
  instant,
  type Milliseconds,
} from "../ids/index.ts";
import type { EndpointRecord, RoutedService } from "../routes/index.ts";
import { EndpointPace, type ServicePace } from "../pace/index.ts";
import { EndpointHealth } from "./endpoint_health.ts";
import type { ReportedLoad } from "./messages.ts";
import { PrefixCacheModel } from "./prefix_cache_model.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS } from "./prompt_cost.ts";

/** Weight of the newest measurement in the moving average of the prefill rate. */
const PREFILL_RATE_WEIGHT = 0.2;
/** Minimum prompt length for a measurement: shorter prompts say little about the prefill rate. */
const MIN_MEASURED_TOKENS = 1_500;
/**
 * Part of the time to the first event that is not prefill: queueing, one step and the network round trip.
 */
const FIRST_EVENT_OVERHEAD_MS = 12;
const MIN_TOKENS_PER_MS = 2;
const MAX_TOKENS_PER_MS = 200;

/**
 * Length of the pause after an engine has prefilled prompts, as a fraction of the time it prefilled. A
 * step with prefill takes about 100 ms, one without about 5 ms, so that a short pause gives the running
 * streams most of their tokens. Without the pauses, long answers do not finish in time at all.
 */
const PREFILL_PAUSE_FRACTION = 0.2;
/** Shortest and longest pause: a few steps without prefill. */
const MIN_PREFILL_PAUSE_MS = 30;
const MAX_PREFILL_PAUSE_MS = 80;

/** Time constant of the exponentially decaying share of time that an engine spends on prefill. */
const PREFILL_SHARE_DECAY_MS = 2_000;

/** The bound of a cold endpoint applies to any second of its clock; the margin covers the network. */
const COLD_REPORT_REST_MS = 1_100;
/** What crashes an endpoint usually does so within this time. */
const TRIAL_PERIOD_MS = 1_000;

/** The load of one of this entry's attempts in flight at the endpoint. */
export interface AttemptLoad {
  /** Tokens to prefill before the first event, 0 once it has arrived. */
  prefill: number;
  /** Tokens that occupy the engine's memory until the attempt ends. */
  readonly tokens: number;
  readonly sentAt: Instant;
  /**
   * Whether the endpoint had no other prefill, or a plain endpoint a free slot, when the attempt was sent, so that its
   * rate can be measured.
   */
  readonly alone: boolean;
}

/** An answer that is about to be generated. */
export interface PlannedAnswer {
  readonly bounds: AnswerBounds;
  readonly endsAt: Instant;
  /** Events that the caller has received before. */
  readonly events: number;
}

/** Sums over several attempts. */
export interface LoadTotals {
  prefill: number;
  requests: number;
  tokens: number;
}

/** The runtime state of one endpoint. */
export class EndpointState {
  record: EndpointRecord;
  service: RoutedService | undefined;
  readonly health = new EndpointHealth();
  readonly pace: EndpointPace;
  readonly prefixes: PrefixCacheModel;
  readonly answers: EngineAnswers;
  /** The load that the endpoint reported with its last answer. */
  reportedLoad: ReportedLoad | undefined;
  reportedLoadAt: Instant | undefined;
  /** When the last bytes from the endpoint arrived. */
  heardAt: Instant | undefined;
  /** Prompt tokens that the endpoint usually prefills per millisecond. */
  prefillRate = DEFAULT_PREFILL_TOKENS_PER_MS;
  readonly own: LoadTotals = { prefill: 0, requests: 0, tokens: 0 };
  readonly peers: LoadTotals = { prefill: 0, requests: 0, tokens: 0 };
  #coldUntil: Instant;
  /** Until when nothing is sent to the endpoint, which has just reported that it is cold. */
  #restUntil = instant(-Infinity);
  /** After an evacuation, records up to this sequence number do not tell whether the endpoint is cold. */
  #lastUntrustedSequence = -1;
  readonly #attempts = new Map<AttemptId, AttemptLoad>();
  /** When the current period of prefill began, `undefined` while nothing is being prefilled. */
  #prefillSince: Instant | undefined;
  #prefillPausedUntil: Instant | undefined;
  #prefillShare = 0;
  #prefillShareAt: Instant | undefined;
  #onTrialUntil: Instant | undefined;

  constructor(
    record: EndpointRecord,
    service: RoutedService | undefined,
    now: Instant,
    { pace, decode }: {
      pace?: ServicePace | undefined;
      decode?: ServiceDecodeSpeed | undefined;
    } = {},
  ) {
    this.record = record;
    this.service = service;
    this.pace = new EndpointPace(pace);
    this.answers = new EngineAnswers(decode ?? new ServiceDecodeSpeed());
    this.prefixes = new PrefixCacheModel(service?.engine?.cacheTokens ?? 0);
    this.#coldUntil = after(now, record.coldFor);
  }

  /** Replaces the record by a newer one of the same life. */
  updateRecord(record: EndpointRecord, now: Instant): void {
    const newer = record.sequence > this.record.sequence;
    this.record = record;
    if (newer && record.sequence > this.#lastUntrustedSequence) {
      this.#coldUntil = after(now, record.coldFor);
    }
  }

  /**
   * Treats the endpoint as cold after the evacuation of its zone has ended: it may have become cold,
   * whatever its last record said.
   */
  markPossiblyCold(now: Instant): void {
    this.#lastUntrustedSequence = this.record.sequence + 1;
    const period = this.service?.coldPeriod ?? 0;
    this.#coldUntil = instant(
      Math.max(this.#coldUntil, after(now, period)),
    );
  }

  /**
   * Notes that the endpoint itself reported to be cold. What was sent to it as to a warm one counts for the second after
   * it, in which it gets nothing.
   */
  noteReportedCold(coldFor: Milliseconds, now: Instant): void {
    if (!this.isCold(now)) {
      this.#restUntil = after(now, COLD_REPORT_REST_MS);
    }
    this.#coldUntil = after(now, coldFor);
  }

  /** Whether the endpoint has just reported that it is cold. */
  restsAsCold(now: Instant): boolean {
    return now < this.#restUntil;
  }

  /** Records that a request that may crash the endpoint is being sent to it. */
  noteTrial(now: Instant): void {
    this.#onTrialUntil = after(now, TRIAL_PERIOD_MS);
  }

  /** Whether a request that may crash the endpoint was just sent to it. */
  isOnTrial(now: Instant): boolean {
    return now < (this.#onTrialUntil ?? -Infinity);
  }

  isCold(now: Instant): boolean {
    return now < this.#coldUntil && (this.service?.coldRate ?? 0) > 0;
  }

  get slots(): number {
    return this.service?.engine?.slots ?? this.record.slots;
  }

  /** Requests in flight at the endpoint, counted by this entry and its peers. */
  get requests(): number {
    return this.own.requests + this.peers.requests;
  }

  get prefill(): number {
    return this.own.prefill + this.peers.prefill;
  }

  get tokens(): number {
    return this.own.tokens + this.peers.tokens;
  }

  /** Prompt tokens that the endpoint prefills per millisecond at present. */
  prefillRateAt(now: Instant): number {
    return this.prefillRate / this.pace.contention(now);
  }

  /** Whether prefill is paused so that the running streams progress faster. */
  isPrefillPaused(now: Instant): boolean {
    return this.#prefillPausedUntil !== undefined &&
      now < this.#prefillPausedUntil &&
      this.requests > 0;
  }

  /**
   * Share of the last seconds that the endpoint spent on prefill, from 0 to 1. A step with prefill takes
   * much longer than one without (100 ms against 5 ms), so that this share decides how fast the endpoint's
   * streams progress.
   */
  prefillShare(now: Instant): number {
    const elapsed = now - (this.#prefillShareAt ?? now);
    const current = this.#prefillSince === undefined ? 0 : 1;
    const decay = Math.exp(-elapsed / PREFILL_SHARE_DECAY_MS);
    return current + (this.#prefillShare - current) * decay;
  }

  /** Milliseconds without prefill until the prefill share has fallen to `share`. */
  timeUntilPrefillShare(share: number, now: Instant): number {
    const ratio = this.prefillShare(now) / share;
    return ratio <= 1 ? 0 : PREFILL_SHARE_DECAY_MS * Math.log(ratio);
  }

  /** For how many milliseconds the endpoint has been prefilling without a pause. */
  prefillDuration(now: Instant): number {
    return this.#prefillSince === undefined ? 0 : now - this.#prefillSince;
  }

  /** Adds (1) or subtracts (-1) the work that a peer reported. */
  applyPeerWork(work: EndpointWork, sign: 1 | -1, now: Instant): void {
    this.peers.prefill += sign * work.prefill;
    this.peers.requests += sign * work.requests;
    this.peers.tokens += sign * work.tokens;
    if (sign > 0) {
      this.#updatePrefill(now);
    }
  }

  /** Counts an attempt that is sent to the endpoint. */
  addAttempt(
    attempt: AttemptId,
    { prefill, tokens, answer }: {
      prefill: number;
      tokens: number;
      /** The answer that an engine is going to generate. */
      answer?: PlannedAnswer | undefined;
    },
    now: Instant,
  ): void {
    if (answer !== undefined) {
      this.answers.begin(attempt, answer.bounds, answer);
    }
    const alone = this.service?.engine === undefined
      ? this.requests < this.slots
      : this.prefill === 0;
    this.#attempts.set(attempt, { prefill, tokens, sentAt: now, alone });
    this.own.prefill += prefill;
    this.own.requests++;
    this.own.tokens += tokens;
    this.#updatePrefill(now);
  }

  /**
   * Notes an attempt's first event, which shows that its prompt has been prefilled. Returns whether the endpoint has
   * less to prefill now.
   */
  noteFirstEvent(attempt: AttemptId, now: Instant): boolean {
    const attemptLoad = this.#attempts.get(attempt);
    if (attemptLoad === undefined || attemptLoad.prefill === 0) {
      return false;
    }
    this.#measurePrefillRate(attemptLoad, now);
    this.own.prefill -= attemptLoad.prefill;
    attemptLoad.prefill = 0;
    this.#updatePrefill(now);
    return true;
  }

  /** Notes a plain endpoint's answer to an attempt that was sent to it at `sentAt`. */
  noteAnswer(attempt: AttemptId, sentAt: Instant, now: Instant): void {
    const isMeasurable = this.service?.engine === undefined &&
      this.#attempts.get(attempt)?.alone === true;
    if (isMeasurable) {
      this.pace.recordAnswer(now - sentAt, now);
    }
  }

  /** Removes an attempt that has ended, with a complete answer or without one. */
  removeAttempt(
    attempt: AttemptId,
    now: Instant,
    { complete = false }: { complete?: boolean } = {},
  ): void {
    this.answers.end(attempt, complete);
    const attemptLoad = this.#attempts.get(attempt);
    if (attemptLoad === undefined) {
      return;
    }
    this.#attempts.delete(attempt);
    this.own.prefill -= attemptLoad.prefill;
    this.own.requests--;
    this.own.tokens -= attemptLoad.tokens;
    this.#updatePrefill(now);
  }

  /** This entry's work at the endpoint, as reported to peers. */
  report(): EndpointWork {
    const { id, life } = this.record;
    return { endpoint: id, life, ...this.own };
  }

  #updatePrefill(now: Instant): void {
    this.#prefillShare = this.prefillShare(now);
    this.#prefillShareAt = now;
    if (this.prefill > 0) {
      this.#prefillSince ??= now;
    } else if (this.#prefillSince !== undefined) {
      const elapsed = now - this.#prefillSince;
      this.#prefillSince = undefined;
      const pause = Math.max(
        MIN_PREFILL_PAUSE_MS,
        elapsed * PREFILL_PAUSE_FRACTION,
      );
      this.#prefillPausedUntil = after(
        now,
        Math.min(MAX_PREFILL_PAUSE_MS, pause),
      );
    }
  }

  #measurePrefillRate(
    { prefill, sentAt, alone }: AttemptLoad,
    now: Instant,
  ): void {
    const elapsed = now - sentAt - FIRST_EVENT_OVERHEAD_MS;
    if (!alone || prefill < MIN_MEASURED_TOKENS || elapsed <= 0) {
      return;
    }
    const rate = Math.min(
      MAX_TOKENS_PER_MS,
      Math.max(
        MIN_TOKENS_PER_MS,
        prefill * this.pace.measuredContention(now) / elapsed,
      ),
    );
    this.prefillRate += PREFILL_RATE_WEIGHT * (rate - this.prefillRate);
  }
}
