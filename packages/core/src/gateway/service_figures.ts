/**
 * What one service has in this region at present, from which its outlook is estimated.
 *
 * @module
 */
import type { RegionDemand } from "../demand/index.ts";
import type { Instant, ServiceId } from "../ids/index.ts";
import {
  type EngineFigures,
  OUTLOOK_RANKS,
  type ServiceFigures,
} from "../outlook/index.ts";
import { MAX_MEMORY_FRACTION, SPARE_SLOTS } from "./endpoint_placement.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";

/** Returns the figures of a service. Endpoints that take no requests now, or few because they are cold, don't count. */
export function serviceFigures(
  service: ServiceId,
  { endpoints, demand }: { endpoints: EndpointRegistry; demand: RegionDemand },
  now: Instant,
): ServiceFigures {
  const engines: EngineFigures[] = [];
  for (const state of endpoints.ofService(service)) {
    if (endpoints.accepts(state, now) && !state.isCold(now)) {
      engines.push(engineFigures(state, now));
    }
  }
  return {
    engines,
    tokensAhead: (rank) =>
      demand.waitingAhead({
        service,
        // The last rank of an outlook stands for all that are less urgent.
        rank: rank < OUTLOOK_RANKS - 1 ? rank : Infinity,
        late: rank >= OUTLOOK_RANKS,
      }).tokens,
  };
}

function engineFigures(state: EndpointState, now: Instant): EngineFigures {
  return {
    tokensPerMs: state.prefillRateAt(now),
    pendingTokens: state.prefill,
    freePlaces: freePlaces(state),
    prefillShare: state.prefillShare(now),
    restMs: state.timeUntilPrefillShare(
      state.answers.maxPrefillShare(now),
      now,
    ),
  };
}

/** Requests of the usual size that an engine can take, by its places and its memory. */
function freePlaces({ service, requests, tokens }: EndpointState): number {
  const engine = service?.engine;
  if (engine === undefined) {
    return 0;
  }
  const places = engine.slots - SPARE_SLOTS - requests;
  const meanTokens = tokens / Math.max(1, requests);
  const memory = engine.cacheTokens * MAX_MEMORY_FRACTION - tokens;
  return meanTokens === 0
    ? places
    : Math.min(places, Math.floor(memory / meanTokens));
}
