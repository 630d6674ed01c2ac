/**
 * Decides whether a request is sent to another region, and to which one.
 *
 * @module
 */
import type { Member, MembershipView } from "../blackboard/index.ts";
import type { Instant, RegionId, ServiceId } from "../ids/index.ts";
import type { Objective } from "../text/index.ts";

/** Round-trip time between regions, added to a remote estimate. */
export const REGION_ROUND_TRIP_MS = 200;
/** A remote estimate must be better than the local one by this factor and by this time in addition. */
const MIN_ADVANTAGE: Readonly<
  Record<Objective, { readonly factor: number; readonly extraMs: number }>
> = {
  tail: { factor: 1.2, extraMs: 50 },
  cost: { factor: 3, extraMs: 1_000 },
};
/**
 * A region that becomes reachable again receives its full share of other regions' requests only after this
 * time, since its caches are cold.
 */
export const RECOVERY_RAMP_MS = 30_000;

/** Free capacity for a service that another region announces. */
export interface RemoteCapacity {
  readonly region: RegionId;
  readonly member: Member;
  readonly slots: number;
  readonly firstTokenMs: number;
  /** When the region was heard from again after a silence. */
  readonly liveSince: Instant;
}

/** The state that the decision depends on. */
export interface SpillInput {
  readonly objective: Objective;
  /**
   * Estimated time to the first token in this region including the queue, `Infinity` if no endpoint serves.
   */
  readonly localMs: number;
  readonly timeLeftMs: number;
  /** Share of this entry's recent requests that were sent to other regions, and its limit. */
  readonly spilledShare: number;
  readonly spillLimit: number;
  readonly remotes: readonly RemoteCapacity[];
  /** This entry's requests in flight to each region. */
  readonly inFlightByRegion: ReadonlyMap<RegionId, number>;
  /** Number of entries in other regions that may use the same free capacity. */
  readonly senderCount: number;
}

/** Returns the best region to send the request to, `undefined` to keep it in this region. */
export function chooseSpill(
  input: SpillInput,
  now: Instant,
): RemoteCapacity | undefined {
  const mustSpill = input.localMs >= input.timeLeftMs;
  if (!mustSpill && input.spilledShare >= input.spillLimit) {
    return undefined;
  }
  const minAdvantage = MIN_ADVANTAGE[input.objective];
  let best: RemoteCapacity | undefined;
  for (const remote of input.remotes) {
    const remoteMs = estimateRemoteMs(remote);
    const isWorthwhile = mustSpill ||
      input.localMs > remoteMs * minAdvantage.factor + minAdvantage.extraMs;
    const isAllowed = remoteMs < input.timeLeftMs &&
      isWithinShare(input, remote, now);
    if (
      isWorthwhile && isAllowed &&
      (best === undefined || remoteMs < estimateRemoteMs(best))
    ) {
      best = remote;
    }
  }
  return best;
}

/**
 * Whether this entry's share of a region's free slots has room for another request. All senders see the same
 * free slots. If each used all of them, the region would be overloaded by a factor of the number of senders,
 * and its queue would grow suddenly whenever another region is short of capacity.
 */
function isWithinShare(
  input: SpillInput,
  remote: RemoteCapacity,
  now: Instant,
): boolean {
  const ramp = Math.min(
    1,
    Math.max(0, now - remote.liveSince) / RECOVERY_RAMP_MS,
  );
  const share = (remote.slots * ramp) / Math.max(1, input.senderCount);
  const allowed = Math.max(remote.slots >= 1 ? 1 : 0, Math.floor(share));
  return (input.inFlightByRegion.get(remote.region) ?? 0) < allowed;
}

function estimateRemoteMs(remote: RemoteCapacity): number {
  return remote.firstTokenMs + REGION_ROUND_TRIP_MS;
}

/** Capacity that a zone announced longer ago than this is ignored. */
export const MAX_CAPACITY_AGE_MS = 60_000;

/** Returns the announced free capacity for a service in other regions, summed over their zones. */
export function remoteCapacities(
  membership: MembershipView,
  { service, home }: { service: ServiceId; home: RegionId },
  now: Instant,
): RemoteCapacity[] {
  const sums = new Map<
    RegionId,
    { slots: number; firstTokenMs: number; liveSince: Instant }
  >();
  for (const { news, heardAt, liveSince } of membership.zones.values()) {
    const spare = news.spare.find((item) => item.service === service);
    if (
      news.region === home || spare === undefined || spare.slots <= 0 ||
      now - heardAt > MAX_CAPACITY_AGE_MS
    ) {
      continue;
    }
    const sum = sums.get(news.region);
    sums.set(news.region, {
      slots: (sum?.slots ?? 0) + spare.slots,
      firstTokenMs: Math.min(sum?.firstTokenMs ?? Infinity, spare.firstToken),
      liveSince: Math.max(sum?.liveSince ?? 0, liveSince) as Instant,
    });
  }
  return [...sums].flatMap(([region, sum]) => {
    const member = findLatestMember(membership, region);
    return member === undefined ? [] : [{ region, member, ...sum }];
  });
}

/** Returns the entry of a region that was heard from last, since it is the most likely to be reachable. */
function findLatestMember(
  membership: MembershipView,
  region: RegionId,
): Member | undefined {
  let latest: Member | undefined;
  for (const member of membership.members.values()) {
    const isEligible = member.health === "live" &&
      member.record.state === "ready" &&
      member.record.region === region;
    latest =
      isEligible && (latest === undefined || member.heardAt > latest.heardAt)
        ? member
        : latest;
  }
  return latest;
}
