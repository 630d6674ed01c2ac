/**
 * Estimates the outlook of one service in this region from its engines and from what waits for them.
 *
 * @module
 */
import { type Milliseconds, milliseconds } from "../ids/index.ts";

/** Ranks with a start delay of their own. Less urgent requests count as the last of them. */
export const OUTLOOK_RANKS = 3;
/** Time to the first event at an idle engine, without prefill: connection, a step and the way back. */
const START_OVERHEAD_MS = 40;
/** Share of their time that engines can prefill without starving the answers that they generate. */
const MAX_PREFILL_SHARE = 0.7;
/** Time until a place becomes free where all are taken. Requests end all the time. */
const PLACE_WAIT_MS = 100;
const MS_PER_SECOND = 1_000;

/** What is known about one engine that accepts work. */
export interface EngineFigures {
  /** Prompt tokens that it prefills in a millisecond at its present pace. */
  readonly tokensPerMs: number;
  /** Prompt tokens that it has still to prefill. */
  readonly pendingTokens: number;
  /** Requests that it can take beside those that it has. */
  readonly freePlaces: number;
  /** Share of the last seconds that it spent on prefill. */
  readonly prefillShare: number;
  /** Time until it takes long prompts of all ranks but the first again. */
  readonly restMs: number;
}

/** What one service has in this region. */
export interface ServiceFigures {
  readonly engines: readonly EngineFigures[];
  /** Prompt tokens waiting in the region that are served before a request of a rank that arrives now. */
  readonly tokensAhead: (rank: number) => number;
}

/** The estimate for one service. */
export interface ServiceEstimate {
  readonly startDelays: readonly Milliseconds[];
  readonly spareTokensPerSecond: number;
  /** Time in which the engines would prefill all that is pending and waiting, in milliseconds. */
  readonly backlogMs: number;
  /** Mean prefill rate of an engine, in tokens per millisecond; 0 without engines. */
  readonly tokensPerMs: number;
}

/** The rank of a request in an outlook. */
export function outlookRank(rank: number): number {
  return Math.min(rank, OUTLOOK_RANKS - 1);
}

/** Estimates a service's outlook. Without engines nothing ever starts. */
export function estimateService(
  { engines, tokensAhead }: ServiceFigures,
): ServiceEstimate {
  const rate = sum(engines, ({ tokensPerMs }) => tokensPerMs);
  const startDelays = Array.from(
    { length: OUTLOOK_RANKS },
    (_, rank) =>
      milliseconds(
        START_OVERHEAD_MS + soonestPlace(engines, rank) +
          tokensAhead(rank) / (rate * MAX_PREFILL_SHARE),
      ),
  );
  const spare = sum(
    engines,
    ({ freePlaces, tokensPerMs, prefillShare, pendingTokens }) =>
      freePlaces <= 0 ? 0 : Math.max(
        0,
        MS_PER_SECOND * tokensPerMs *
            Math.max(0, MAX_PREFILL_SHARE - prefillShare) - pendingTokens,
      ),
  );
  return {
    startDelays: engines.length === 0
      ? startDelays.map(() => milliseconds(Infinity))
      : startDelays,
    spareTokensPerSecond: Math.max(0, spare - tokensAhead(OUTLOOK_RANKS)),
    backlogMs: engines.length === 0
      ? Infinity
      : (sum(engines, ({ pendingTokens }) => pendingTokens) +
        tokensAhead(OUTLOOK_RANKS)) / rate,
    tokensPerMs: engines.length === 0 ? 0 : rate / engines.length,
  };
}

/** Time until the first of the engines begins another prompt. */
function soonestPlace(
  engines: readonly EngineFigures[],
  rank: number,
): number {
  return engines.reduce(
    (soonest, { pendingTokens, tokensPerMs, freePlaces, restMs }) =>
      Math.min(
        soonest,
        pendingTokens / tokensPerMs + (rank === 0 ? 0 : restMs) +
          (freePlaces > 0 ? 0 : PLACE_WAIT_MS),
      ),
    Infinity,
  );
}

function sum<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
