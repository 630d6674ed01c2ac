/**
 * Estimates load and latency from load reports, which lag behind.
 *
 * @module
 */
import type { Endpoint } from "../blackboard/index.ts";
import { type Instant, type Milliseconds, milliseconds } from "../ids/index.ts";
import { type BodyFacts, TOKENS_PER_BLOCK } from "../messages/index.ts";

/** Slots assumed for an endpoint without a load report. */
const DEFAULT_SLOTS = 4;
/** Time per request in a slot assumed for an endpoint without a load report. */
const DEFAULT_SLOT_TIME_MS = 1_000;

/** The properties of a request that estimates depend on. */
export type PromptFacts = Pick<BodyFacts, "promptTokens" | "blocks">;

/** Returns the number of slots of an endpoint. */
export function slotCount(endpoint: Endpoint): number {
  return endpoint.load?.slots ?? DEFAULT_SLOTS;
}

/** Returns the mean time that a request occupies a slot. */
export function meanSlotTime(endpoint: Endpoint): number {
  return endpoint.load?.holdTime || DEFAULT_SLOT_TIME_MS;
}

/**
 * Estimates the number of requests at an endpoint now: those of its last report and this entry's own that
 * started after the report was measured, which it cannot include.
 */
export function estimateActive(endpoint: Endpoint): number {
  const { load, loadAt, inFlight } = endpoint;
  if (load === undefined || loadAt === undefined) {
    return inFlight.size;
  }
  let startedSince = 0;
  for (const startedAt of inFlight.values()) {
    startedSince += startedAt >= loadAt ? 1 : 0;
  }
  return Math.max(inFlight.size, load.running + load.queued + startedSince);
}

/** Estimates the number of free slots. Negative if requests are queued. */
export function estimateFreeSlots(endpoint: Endpoint): number {
  return slotCount(endpoint) - estimateActive(endpoint);
}

/** Estimates how many prompt tokens are in the endpoint's prefix cache. Only leading blocks count. */
export function cachedTokens(
  endpoint: Endpoint,
  work: PromptFacts,
  now: Instant,
): number {
  let blocks = 0;
  for (const block of work.blocks) {
    const cachedUntil = endpoint.cachedBlocks.get(block);
    if (cachedUntil === undefined || cachedUntil <= now) {
      break;
    }
    blocks++;
  }
  return Math.min(work.promptTokens, blocks * TOKENS_PER_BLOCK);
}

/** Estimates the wait for a free slot at an endpoint. */
export function estimateSlotWait(endpoint: Endpoint): Milliseconds {
  const excess = estimateActive(endpoint) - slotCount(endpoint) + 1;
  return milliseconds(
    excess <= 0 ? 0 : (excess * meanSlotTime(endpoint)) / slotCount(endpoint),
  );
}

/** Estimates the time to process the part of the prompt that is not in the prefix cache. */
export function estimatePrefill(
  endpoint: Endpoint,
  work: PromptFacts,
  now: Instant,
): Milliseconds {
  const rate = endpoint.load?.prefillRate ?? 0;
  const uncached = work.promptTokens - cachedTokens(endpoint, work, now);
  return milliseconds(rate > 0 ? (uncached / rate) * 1_000 : 0);
}

/** Estimates the time to the first token at an endpoint. */
export function estimateFirstToken(
  endpoint: Endpoint,
  work: PromptFacts,
  now: Instant,
): Milliseconds {
  return milliseconds(
    estimateSlotWait(endpoint) + estimatePrefill(endpoint, work, now),
  );
}
