/**
 * Which endpoint of the region a request goes to, and whether it goes now.
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
 * Longest time that an engine may have to read prompts before it gets another one. Every step of an
 * engine that reads takes up to a hundred milliseconds, and an event of a stream is several steps: a
 * longer backlog would make each stream on the engine pause for longer than its objective.
 */
export const READ_AHEAD_MS = 260;
/**
 * Longest time that an engine may read without a rest. An event of a stream is several steps of its
 * engine: with a rest within each of them no pause exceeds half a second, without one it is as long as
 * the steps that read.
 */
const READ_STRETCH_MS = 420;
/**
 * Part of its time that an engine may read long prompts of all but the first rank. Beyond it answers
 * come so slowly that they run out of time: on an engine that reads nine tenths of the time an event of
 * nine tokens takes a fifth of a second. One notices by callers who leave while events still come.
 * Seven tenths earned most in a modelled peak with the largest region evacuated: 0.851 of the worth and
 * 0.740 in the worst seconds, 0.836 and 0.691 without a limit.
 */
const MOST_READING_PART = 0.7;
/** Short prompts fit between the long ones. */
const SHORT_PROMPT_TOKENS = 1_500;
const SHORT_PROMPT_EXTRA_MS = 120;
/** Part of an engine's memory that running requests may take: beyond it the engine preempts. */
const MEMORY_PART = 0.9;
/** Places of an engine left free for what other entries send at the same moment. */
const SPARE_SLOTS = 2;
/** A plain endpoint queues this many times its slots at the most. */
const PLAIN_QUEUE_FACTOR = 1.5;
/** Reading a prompt costs the requests behind it too, so that a cached prefix counts more than a wait. */
const READ_WEIGHT = 1.4;
/** Cost of one more request in an engine's batch, in milliseconds. */
const BATCH_COST_MS = 0.4;
/** Cost of an endpoint all of whose last answers were failures, in milliseconds. */
const FAILURE_COST_MS = 1_500;
/** Cost of another availability zone: bytes between zones are charged. */
const OTHER_ZONE_COST_MS = 60;

/** A fetched prefix saves at least so much reading, or it is not worth its transfer. */
export const LEAST_FETCH_TOKENS = 1_024;
/** Time that a fetch takes before reading goes on. */
const FETCH_COST_MS = 12;

/** What a request asks of an endpoint. */
export interface Work {
  readonly prompt: Prompt | undefined;
  readonly zone: ZoneId;
  /** Of the first rank: it goes before what is protected from reading. */
  readonly urgent: boolean;
  /** A small cost of the entry's own, so that entries that choose at once choose differently. */
  readonly biasOf: (state: EndpointState) => number;
  /** The endpoint that has most of the prompt's prefix, of those that others can fetch from. */
  readonly holder: PrefixHolder | undefined;
}

/** An endpoint with part of a prompt in its cache. */
export interface PrefixHolder {
  readonly state: EndpointState;
  readonly tokens: number;
}

/** The outcome of a choice. */
export type Placement =
  | {
    readonly kind: "chosen";
    readonly state: EndpointState;
    /** Prompt tokens that it will have to read. */
    readonly prefill: number;
    readonly tokens: number;
    /** Where it fetches part of the prefix from. */
    readonly fetchFrom: EndpointState | undefined;
  }
  /** All are busy; a place may come free after this time. */
  | { readonly kind: "busy"; readonly wait: Milliseconds }
  | { readonly kind: "none" };

/** Chooses among endpoints that accept new work. */
export function place(
  work: Work,
  candidates: readonly EndpointState[],
  now: Instant,
): Placement {
  let best: Placement = { kind: "none" };
  let bestCost = Infinity;
  let wait = Infinity;
  for (const state of candidates) {
    const { prefill, fetchFrom } = readingAt(work, state);
    const tokens = memoryTokens(work.prompt);
    const need = { prefill, tokens, urgent: work.urgent };
    if (!fits(state, need, now)) {
      wait = Math.min(wait, waitAt(state, now));
      continue;
    }
    const cost = costAt(state, prefill, work) + work.biasOf(state) +
      (fetchFrom === undefined ? 0 : FETCH_COST_MS);
    if (cost < bestCost) {
      bestCost = cost;
      best = { kind: "chosen", state, prefill, tokens, fetchFrom };
    }
  }
  return best.kind === "none" && wait < Infinity
    ? { kind: "busy", wait: milliseconds(wait) }
    : best;
}

/** The endpoint that has most of a prompt's shared parts. */
export function findHolder(
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
      ? state.prefixes.cached(parts)
      : 0;
    if (tokens > (best?.tokens ?? 0)) {
      best = { state, tokens };
    }
  }
  return best;
}

/** What an endpoint would have to read of a prompt, and where it would fetch the rest from. */
function readingAt(
  { prompt, holder }: Work,
  state: EndpointState,
): { prefill: number; fetchFrom: EndpointState | undefined } {
  if (prompt === undefined || state.service?.engine === undefined) {
    return { prefill: 0, fetchFrom: undefined };
  }
  const cached = state.prefixes.cached(sharedParts(prompt));
  const fetched = holder === undefined || holder.state === state
    ? 0
    : holder.tokens - cached;
  const worth = fetched >= LEAST_FETCH_TOKENS;
  const kept = worth ? holder!.tokens : cached;
  return {
    prefill: Math.max(0, prompt.promptTokens - kept),
    fetchFrom: worth ? holder!.state : undefined,
  };
}

/** Parts of a prompt that other requests have too. */
export function sharedParts(prompt: Prompt): Prompt["parts"] {
  return prompt.parts.slice(0, -1);
}

/** Whether a prompt is read so fast that it fits between the long ones. */
export function isShort(prompt: Prompt | undefined): boolean {
  return prompt !== undefined && prompt.promptTokens <= SHORT_PROMPT_TOKENS;
}

function memoryTokens(prompt: Prompt | undefined): number {
  return prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens;
}

function fits(
  state: EndpointState,
  { prefill, tokens, urgent }: {
    prefill: number;
    tokens: number;
    urgent: boolean;
  },
  now: Instant,
): boolean {
  const engine = state.service?.engine;
  if (engine === undefined) {
    return state.requests < state.slots * PLAIN_QUEUE_FACTOR;
  }
  if (state.requests >= engine.slots - SPARE_SLOTS) {
    return false;
  }
  const empty = state.requests === 0;
  if (!empty && state.tokens + tokens > engine.cacheTokens * MEMORY_PART) {
    return false;
  }
  const short = prefill <= SHORT_PROMPT_TOKENS;
  const stretch = state.readingFor(now) +
    (state.prefill + prefill) / state.prefillRate;
  const disturbs = state.prefill > 0 && stretch > READ_STRETCH_MS;
  const starves = !empty && !urgent &&
    state.readingPart(now) > MOST_READING_PART;
  if (!short && (disturbs || starves || state.isResting(now))) {
    return false;
  }
  const extra = short ? SHORT_PROMPT_EXTRA_MS : 0;
  const limit = (READ_AHEAD_MS + extra) * state.prefillRate;
  return state.prefill === 0 || state.prefill + prefill <= limit;
}

function costAt(state: EndpointState, prefill: number, work: Work): number {
  const reading = (state.prefill + prefill * READ_WEIGHT) / state.prefillRate;
  const crowd = state.service?.engine === undefined
    ? (state.requests / Math.max(1, state.slots)) * OTHER_ZONE_COST_MS
    : state.requests * BATCH_COST_MS;
  const away = state.record.zone === work.zone ? 0 : OTHER_ZONE_COST_MS;
  return reading + crowd + away + state.health.failureRate * FAILURE_COST_MS;
}

/** Until what is read there has been read, and it has read little enough of late to read on. */
function waitAt(state: EndpointState, now: Instant): number {
  const reading = state.prefill / state.prefillRate;
  return Math.max(1, reading + state.timeToReadingPart(MOST_READING_PART, now));
}
