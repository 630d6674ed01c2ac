/**
 * Room for more requests at endpoints.
 *
 * @module
 */
import type { DemandTotals } from "../demand/index.ts";
import { MAX_PREFILL_BACKLOG_MS } from "./endpoint_placement.ts";
import type { EndpointState } from "./endpoint_state.ts";

/** Requests and prompt tokens that endpoints could take at once. A plain endpoint takes any prompt in a free slot. */
export function spareRoom(states: readonly EndpointState[]): DemandTotals {
  let requests = 0;
  let tokens = 0;
  for (const state of states) {
    const free = Math.max(0, state.slots - state.requests);
    const prefill = state.service?.engine === undefined
      ? Infinity
      : MAX_PREFILL_BACKLOG_MS * state.prefillRate - state.prefill;
    requests += prefill > 0 ? free : 0;
    tokens += free > 0 ? Math.max(0, prefill) : 0;
  }
  return { requests, tokens };
}
