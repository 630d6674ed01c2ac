/**
 * Spare capacity that this entry reports to its peers.
 *
 * @module
 */
import type { Blackboard } from "../blackboard/index.ts";
import { type Instant, milliseconds, type ServiceId } from "../ids/index.ts";
import type { SpareCapacity } from "../messages/index.ts";
import {
  estimateFirstToken,
  estimateFreeSlots,
  type PromptFacts,
} from "../routing/index.ts";
import { usableEndpoints } from "./capacity.ts";

/** Typical request without a cached prefix, for which the time to the first token is reported. */
const COLD_WORK: PromptFacts = { promptTokens: 512, blocks: [] };

/** Returns free slots and the time to the first token for each service of the region. */
export function measureSpareCapacity(
  board: Blackboard,
  queuedFor: (service: ServiceId) => number,
  now: Instant,
): SpareCapacity[] {
  const spare: SpareCapacity[] = [];
  for (
    const service of board.configuration.deployment?.services.values() ?? []
  ) {
    if (!service.regions.includes(board.self.region)) {
      continue;
    }
    const endpoints = usableEndpoints(board, service);
    const room = endpoints.reduce(
      (sum, endpoint) => sum + Math.max(0, estimateFreeSlots(endpoint)),
      0,
    );
    const times = endpoints.map((endpoint) =>
      estimateFirstToken(endpoint, COLD_WORK, now)
    );
    spare.push({
      service: service.id,
      slots: Math.max(0, room - queuedFor(service.id)),
      firstToken: milliseconds(
        times.length === 0 ? 0 : Math.round(Math.min(...times)),
      ),
    });
  }
  return spare;
}
