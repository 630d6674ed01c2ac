/**
 * How much a region's endpoints can take, and how long a new request would wait.
 *
 * @module
 */
import type { Blackboard, Endpoint } from "../blackboard/index.ts";
import { type Instant, type Milliseconds, milliseconds } from "../ids/index.ts";
import { activeAt, holdTimeOf, roomAt } from "../routing/index.ts";
import type { Service } from "../text/index.ts";

/** Endpoints that take new work. */
export function usableEndpoints(
  board: Blackboard,
  service: Service,
): Endpoint[] {
  return board.endpoints.of(service.id).filter((endpoint) =>
    endpoint.state === "live" && mayTake(endpoint)
  );
}

/**
 * Endpoints that failed lately, and are better than none.
 *
 * A region may have a single runner of a service. One broken connection would have every call refused
 * until its next report, with a line at the door; one would notice by refusals right after each reset.
 */
export function doubtfulEndpoints(
  board: Blackboard,
  service: Service,
): Endpoint[] {
  return board.endpoints.of(service.id).filter((endpoint) =>
    endpoint.state === "suspect" && endpoint.load !== undefined &&
    mayTake(endpoint)
  );
}

/** Whether an endpoint neither leaves nor has asked for rest. */
function mayTake({ leaving, restsUntil }: Endpoint): boolean {
  return leaving === undefined && restsUntil === undefined;
}

/**
 * Wait until `ahead` requests and one more have found a slot.
 *
 * Slots that this entry filled become free when their requests have held them for the usual time;
 * those filled by others are taken to be anywhere in theirs, and this entry gets its part of them.
 * A mean drain alone would promise a slot soon while all have only just been taken, and the request
 * would wait out its deadline in the queue.
 */
export function predictWait(
  board: Blackboard,
  { endpoints, ahead }: { endpoints: readonly Endpoint[]; ahead: number },
  now: Instant,
): Milliseconds {
  const entries = entriesOfRegion(board);
  const waits = endpoints.flatMap((endpoint) =>
    slotWaits(endpoint, { entries, now })
  );
  if (waits.length === 0) {
    return milliseconds(
      endpoints.length === 0 ? Infinity : longestHold(endpoints) * (ahead + 1),
    );
  }
  waits.sort((left, right) => left - right);
  const rounds = Math.floor(ahead / waits.length);
  return milliseconds(
    waits[ahead % waits.length]! + rounds * longestHold(endpoints),
  );
}

/** Times until slots of one endpoint become free for this entry. */
function slotWaits(
  endpoint: Endpoint,
  { entries, now }: { entries: number; now: Instant },
): number[] {
  const hold = holdTimeOf(endpoint);
  const waits = [...endpoint.inFlight.values()].map((startedAt) =>
    Math.max(0, startedAt + hold - now)
  );
  const others = Math.max(0, activeAt(endpoint) - endpoint.inFlight.size);
  const share = Math.ceil(others / entries);
  for (let index = 1; index <= share; index++) {
    waits.push((hold * index) / (share + 1));
  }
  const free = Math.max(0, roomAt(endpoint));
  return [...waits, ...new Array<number>(free).fill(0)];
}

function longestHold(endpoints: readonly Endpoint[]): number {
  return Math.max(...endpoints.map(holdTimeOf));
}

function entriesOfRegion(board: Blackboard): number {
  let entries = 1;
  for (const { health, record } of board.membership.members.values()) {
    entries += health === "live" && record.region === board.self.region &&
        record.state === "ready"
      ? 1
      : 0;
  }
  return entries;
}
