/**
 * Chooses the endpoint of the region for a request, and whether the request is sent now.
 *
 * @module
 */
import {
  type Instant,
  type Milliseconds,
  milliseconds,
  type ZoneId,
} from "../ids/index.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { Prompt } from "./messages.ts";

/**
 * Maximum time of prefill that an engine has pending when it gets another prompt. A step with prefill
 * takes up to 100 ms and a stream's event takes several steps: with a longer backlog every stream on the
 * engine would pause for longer than its objective.
 */
export const MAX_PREFILL_BACKLOG_MS = 260;
/**
 * Maximum time that an engine prefills without a pause. A stream's event takes several steps of its
 * engine: with a pause within each event no gap exceeds half a second, without one the gap lasts as long
 * as the prefill.
 */
const MAX_PREFILL_STRETCH_MS = 420;
/**
 * Longest time by which a prompt's own prefill counts in the two limits above. Where all of it counted, a long prompt
 * would wait for an engine without any pending prefill, which it never finds among short ones.
 */
const MAX_COUNTED_PREFILL_MS = 130;
/** Prompts up to this length are short: they fit between the long ones. */
const SHORT_PROMPT_TOKENS = 1_500;
const SHORT_PROMPT_EXTRA_BACKLOG_MS = 120;
/** Maximum fraction of an engine's memory for running requests. Beyond it the engine preempts. */
export const MAX_MEMORY_FRACTION = 0.9;
/** Slots of an engine that are left free for requests that other entries send at the same moment. */
export const SPARE_SLOTS = 2;
/** Maximum number of requests at a plain endpoint, as a multiple of its slots. */
const PLAIN_ENDPOINT_QUEUE_FACTOR = 1.5;
/**
 * Prefill also delays the requests behind it, so that a cached prefix counts more than a wait of the same
 * length.
 */
const PREFILL_COST_WEIGHT = 1.4;
/** Cost of one more request in an engine's batch. */
const BATCH_COST_MS = 0.4;
/** Cost of an endpoint whose recent answers were all failures. */
const FAILURE_COST_MS = 1_500;
/** Cost of an endpoint in another availability zone: traffic between zones is charged. */
const CROSS_ZONE_COST_MS = 60;

/** Minimum number of tokens that fetching a prefix has to save to be worth the transfer. */
export const MIN_FETCH_TOKENS = 1_024;
/** Cost of a request in progress that is lost when a quarantine trial crashes its endpoint. */
const LOST_REQUEST_COST_MS = 500;
/** Cost of all of an engine's prefill for as long as an answer takes. */
const SHARE_COST_MS = 1_000;
/** Time that a fetch takes before prefill continues. */
const FETCH_COST_MS = 12;

/** What a request needs from an endpoint. */
export interface PlacementRequest {
  readonly prompt: Prompt | undefined;
  readonly zone: ZoneId;
  /** When the caller's time is over. */
  readonly endsAt: Instant;
  /** Whether the request has the first rank, which is exempt from the limit of the prefill share. */
  readonly urgent: boolean;
  /**
   * Small cost that differs by entry, so that entries that choose at the same moment choose different
   * endpoints.
   */
  readonly biasOf: (state: EndpointState) => number;
  /** The endpoint with the longest cached prefix of the prompt, among those that others can fetch from. */
  readonly holder: PrefixHolder | undefined;
  /** Whether the request is a quarantine trial, which may crash its endpoint. */
  readonly trial: boolean;
}

/** An endpoint that has part of a prompt cached. */
export interface PrefixHolder {
  readonly state: EndpointState;
  readonly tokens: number;
}

/** The result of a choice. */
export type Placement =
  | {
    readonly kind: "chosen";
    readonly state: EndpointState;
    /** Prompt tokens that the endpoint will have to prefill. */
    readonly prefill: number;
    readonly tokens: number;
    /** The endpoint to fetch part of the prefix from. */
    readonly fetchFrom: EndpointState | undefined;
  }
  /** All endpoints are busy. A place may become free after `wait`. */
  | { readonly kind: "busy"; readonly wait: Milliseconds }
  | { readonly kind: "none" };

/**
 * Chooses the cheapest of the endpoints that accept new work.
 *
 * Contention only decides between the two that would be cheapest without it. If each entry chose the calmest machine,
 * all of them would send their requests there before they hear of each other's, and a false report would draw all
 * work.
 */
export function chooseEndpoint(
  request: PlacementRequest,
  candidates: readonly EndpointState[],
  now: Instant,
): Placement {
  let best: Candidate | undefined;
  let second: Candidate | undefined;
  let wait = Infinity;
  const { prompt } = request;
  const parts = prompt === undefined ? [] : sharedParts(prompt);
  const tokens = memoryTokens(prompt);
  for (const state of candidates) {
    const contention = state.pace.contention(now);
    const { prefill, fetchFrom } = prefillAt(request, parts, state);
    const need = { prefill, tokens, urgent: request.urgent, contention };
    // Of two trials at the same endpoint, neither would show which one crashes it.
    const isTaken = request.trial && state.isOnTrial(now);
    if (isTaken || !hasCapacity(state, need, now)) {
      if (best === undefined) {
        wait = Math.min(wait, waitAt(state, contention, now));
      }
      continue;
    }
    const work = workAt(state, prefill);
    const other = distanceAt(state, request) + request.biasOf(state) +
      riskAt(state, request, now) + shareCostAt(state, request, now) +
      (fetchFrom === undefined ? 0 : FETCH_COST_MS);
    const usualCost = work + other;
    if (usualCost < (second?.usualCost ?? Infinity)) {
      const cost = work * contention + other;
      const candidate = { state, prefill, fetchFrom, usualCost, cost };
      [best, second] = usualCost < (best?.usualCost ?? Infinity)
        ? [candidate, best]
        : [best, candidate];
    }
  }
  if (best === undefined) {
    return wait < Infinity
      ? { kind: "busy", wait: milliseconds(wait) }
      : { kind: "none" };
  }
  const { state, prefill, fetchFrom } =
    second !== undefined && second.cost < best.cost ? second : best;
  return { kind: "chosen", state, prefill, tokens, fetchFrom };
}

/** An endpoint with capacity for a request, and what the request costs there. */
interface Candidate {
  readonly state: EndpointState;
  readonly prefill: number;
  readonly fetchFrom: EndpointState | undefined;
  /** Cost without regard to contention. */
  readonly usualCost: number;
  readonly cost: number;
}

/**
 * Finds the endpoint with the longest cached prefix of a prompt, among those that others can fetch from.
 */
export function findPrefixHolder(
  prompt: Prompt | undefined,
  states: readonly EndpointState[],
): PrefixHolder | undefined {
  let best: PrefixHolder | undefined;
  if (prompt === undefined) {
    return undefined;
  }
  const parts = sharedParts(prompt);
  for (const state of states) {
    const tokens = state.service?.engine?.fetches === true
      ? state.prefixes.cachedTokens(parts)
      : 0;
    if (tokens > (best?.tokens ?? 0)) {
      best = { state, tokens };
    }
  }
  return best;
}

/**
 * The tokens of a prompt that an endpoint would have to prefill, and the endpoint it would fetch a prefix
 * from.
 */
function prefillAt(
  { prompt, holder }: PlacementRequest,
  parts: Prompt["parts"],
  state: EndpointState,
): { prefill: number; fetchFrom: EndpointState | undefined } {
  if (prompt === undefined || state.service?.engine === undefined) {
    return { prefill: 0, fetchFrom: undefined };
  }
  const cached = state.prefixes.cachedTokens(parts);
  const saved = holder === undefined || holder.state === state
    ? 0
    : holder.tokens - cached;
  const isWorthFetching = saved >= MIN_FETCH_TOKENS;
  const available = isWorthFetching ? holder!.tokens : cached;
  return {
    prefill: Math.max(0, prompt.promptTokens - available),
    fetchFrom: isWorthFetching ? holder!.state : undefined,
  };
}

/** The leading parts of a prompt, which other requests may share. */
export function sharedParts(prompt: Prompt): Prompt["parts"] {
  return prompt.parts.slice(0, -1);
}

/** Whether a prompt is short enough to fit between the long ones. */
export function isShortPrompt(prompt: Prompt | undefined): boolean {
  return prompt !== undefined && prompt.promptTokens <= SHORT_PROMPT_TOKENS;
}

function memoryTokens(prompt: Prompt | undefined): number {
  return prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens;
}

function hasCapacity(
  state: EndpointState,
  { prefill, tokens, urgent, contention }: {
    prefill: number;
    tokens: number;
    urgent: boolean;
    contention: number;
  },
  now: Instant,
): boolean {
  const engine = state.service?.engine;
  if (engine === undefined) {
    return state.requests < state.slots * PLAIN_ENDPOINT_QUEUE_FACTOR;
  }
  if (state.requests >= engine.slots - SPARE_SLOTS) {
    return false;
  }
  const idle = state.requests === 0;
  if (
    !idle && state.tokens + tokens > engine.cacheTokens * MAX_MEMORY_FRACTION
  ) {
    return false;
  }
  const short = prefill <= SHORT_PROMPT_TOKENS;
  const rate = state.prefillRate / contention;
  const counted = Math.min(prefill, MAX_COUNTED_PREFILL_MS * rate);
  if (!short) {
    const stretch = state.prefillDuration(now) +
      (state.prefill + counted) / rate;
    const exceedsStretch = state.prefill > 0 &&
      stretch > MAX_PREFILL_STRETCH_MS;
    const exceedsShare = !idle && !urgent &&
      state.prefillShare(now) >
        state.answers.maxPrefillShare(now);
    if (exceedsStretch || exceedsShare || state.isPrefillPaused(now)) {
      return false;
    }
  }
  const extra = short ? SHORT_PROMPT_EXTRA_BACKLOG_MS : 0;
  const limit = (MAX_PREFILL_BACKLOG_MS + extra) * rate;
  return state.prefill === 0 || state.prefill + counted <= limit;
}

/** The part of the cost that grows with contention. */
function workAt(state: EndpointState, prefill: number): number {
  const { pace } = state;
  if (state.service?.engine === undefined) {
    const queueCost = (state.requests / Math.max(1, state.slots)) *
      CROSS_ZONE_COST_MS * pace.lasting;
    return queueCost + pace.answerTime;
  }
  const prefillCost = (state.prefill + prefill * PREFILL_COST_WEIGHT) /
    state.prefillRate;
  return prefillCost + state.requests * BATCH_COST_MS;
}

/** The part of the cost that doesn't depend on the endpoint's pace. */
function distanceAt(state: EndpointState, { zone }: PlacementRequest): number {
  const zoneCost = state.record.zone === zone ? 0 : CROSS_ZONE_COST_MS;
  return zoneCost + state.health.failureRate * FAILURE_COST_MS;
}

/**
 * Cost of the prefill that an engine can't do beside an answer if that is to be complete in time. It brings long answers
 * together, and leaves other engines to long prompts.
 */
function shareCostAt(
  state: EndpointState,
  { prompt, endsAt }: PlacementRequest,
  now: Instant,
): number {
  return prompt === undefined || state.service?.engine === undefined
    ? 0
    : SHARE_COST_MS * state.answers.shareTakenBy(prompt, endsAt, now);
}

/** Cost of the requests that a trial may take along when it crashes the endpoint. */
function riskAt(
  state: EndpointState,
  { trial }: PlacementRequest,
  now: Instant,
): number {
  const others = trial ? state.requests : 0;
  const trials = state.isOnTrial(now) ? 1 : 0;
  return (others + trials) * LOST_REQUEST_COST_MS;
}

/**
 * Time until the endpoint's pending prefill is done and its prefill share is low enough for more, at least
 * one millisecond.
 */
function waitAt(
  state: EndpointState,
  contention: number,
  now: Instant,
): number {
  const prefillTime = state.prefill * contention / state.prefillRate;
  return Math.max(
    1,
    prefillTime +
      state.timeUntilPrefillShare(state.answers.maxPrefillShare(now), now),
  );
}
