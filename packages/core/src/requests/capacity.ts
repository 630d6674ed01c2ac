/**
 * Endpoints that can serve a request, and the predicted wait of a new request.
 *
 * @module
 */
import type { Blackboard, Endpoint } from "../blackboard/index.ts";
import { type Instant, type Milliseconds, milliseconds } from "../ids/index.ts";
import {
  estimateActive,
  estimateFreeSlots,
  meanSlotTime,
} from "../routing/index.ts";
import type { Service } from "../text/index.ts";

/** Returns the endpoints of a service that accept new requests. */
export function usableEndpoints(
  board: Blackboard,
  service: Service,
): Endpoint[] {
  return board.endpoints.forService(service.id).filter((endpoint) =>
    endpoint.state === "live" && acceptsRequests(endpoint)
  );
}

/**
 * Returns endpoints that failed recently, to be used when there is no other.
 *
 * A region may have a single endpoint of a service. Without this fallback, one broken connection would
 * cause all requests to be refused until the endpoint's next load report.
 */
export function suspectEndpoints(
  board: Blackboard,
  service: Service,
): Endpoint[] {
  return board.endpoints.forService(service.id).filter((endpoint) =>
    endpoint.state === "suspect" && endpoint.load !== undefined &&
    acceptsRequests(endpoint)
  );
}

/** Whether an endpoint is neither leaving nor in a time for which it asked for no requests. */
function acceptsRequests(
  { leaving, restUntil }: Endpoint,
): boolean {
  return leaving === undefined && restUntil === undefined;
}

/**
 * Predicts the wait until `ahead` requests and one more have been given a slot.
 *
 * A slot that this entry uses is expected to become free after the mean hold time. The remaining times of
 * slots that other entries use are assumed to be evenly distributed, and this entry is assumed to get an
 * equal share of those slots. The mean rate at which slots become free would not be enough: right after all
 * slots have been taken, it would predict a slot soon, and the request would spend its deadline in the queue.
 */
export function predictWait(
  board: Blackboard,
  { endpoints, ahead }: { endpoints: readonly Endpoint[]; ahead: number },
  now: Instant,
): Milliseconds {
  const entries = countReadyEntries(board);
  const waits = endpoints.flatMap((endpoint) =>
    slotWaits(endpoint, { entries, now })
  );
  if (waits.length === 0) {
    return milliseconds(
      endpoints.length === 0
        ? Infinity
        : longestHoldTime(endpoints) * (ahead + 1),
    );
  }
  waits.sort((left, right) => left - right);
  const rounds = Math.floor(ahead / waits.length);
  return milliseconds(
    waits[ahead % waits.length]! + rounds * longestHoldTime(endpoints),
  );
}

/** Returns the times until slots of one endpoint become free for this entry. */
function slotWaits(
  endpoint: Endpoint,
  { entries, now }: { entries: number; now: Instant },
): number[] {
  const holdTime = meanSlotTime(endpoint);
  const waits = [...endpoint.inFlight.values()].map((startedAt) =>
    Math.max(0, startedAt + holdTime - now)
  );
  const inFlightOfOthers = Math.max(
    0,
    estimateActive(endpoint) - endpoint.inFlight.size,
  );
  const expectedSlots = Math.ceil(inFlightOfOthers / entries);
  for (let index = 1; index <= expectedSlots; index++) {
    waits.push((holdTime * index) / (expectedSlots + 1));
  }
  const free = Math.max(0, estimateFreeSlots(endpoint));
  return [...waits, ...new Array<number>(free).fill(0)];
}

function longestHoldTime(endpoints: readonly Endpoint[]): number {
  return Math.max(...endpoints.map(meanSlotTime));
}

function countReadyEntries(board: Blackboard): number {
  let entries = 1;
  for (const { health, record } of board.membership.members.values()) {
    entries += health === "live" && record.region === board.self.region &&
        record.state === "ready"
      ? 1
      : 0;
  }
  return entries;
}
