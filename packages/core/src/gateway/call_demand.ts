/**
 * Measures the demand at this entry from its requests.
 *
 * @module
 */
import {
  boundPlaced,
  type DemandReport,
  groupWaiting,
  type WaitingItem,
} from "../demand/index.ts";
import type { Instant } from "../ids/index.ts";
import type { Call } from "./call.ts";
import { isLateToStart } from "./call_queue.ts";
import type { PlacementMeter } from "./placement_meter.ts";
import type { RegionController } from "./region_controller.ts";

/** Adds up the requests that wait here or are in flight at endpoints of this region. */
export function measureDemand(
  calls: Iterable<Call>,
  { regions, placements }: {
    regions: Pick<RegionController, "prefillFraction">;
    placements: PlacementMeter;
  },
  now: Instant,
): DemandReport {
  const waiting: WaitingItem[] = [];
  for (const call of calls) {
    const { services, rank, customer } = call;
    if (call.phase === "waiting") {
      waiting.push({
        service: services[0]!,
        rank,
        late: isLateToStart(call, regions.prefillFraction, now),
        customer: customer?.id,
        tokens: call.uncachedTokens,
      });
    }
  }
  return {
    waiting: groupWaiting(waiting),
    placed: boundPlaced(placements.lastSecond(now)),
    paces: [],
  };
}
