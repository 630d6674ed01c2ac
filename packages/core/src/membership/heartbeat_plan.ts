/**
 * Selects the receivers of heartbeats. Each period an entry sends one to the next peer of its zone. The zone's
 * delegates take turns to also reach one delegate of the region's other zones and one of another region. The
 * cost for each entry is thus nearly the same at 8 entries and at 530.
 *
 * @module
 */
import type { EntryIdentity, Member } from "../blackboard/index.ts";
import { rendezvous, type ZoneId } from "../ids/index.ts";
import type { MemberRecord } from "../messages/index.ts";

/** Entries of a zone that exchange heartbeats with other zones. */
export const DELEGATES_PER_ZONE = 2;

/** The part of an entry's record that the plan needs. */
export type DelegateCandidate = Pick<
  MemberRecord,
  "id" | "zone" | "region" | "incarnation" | "controlUrl"
>;

/** Receivers of one beat. */
export interface HeartbeatPlan {
  readonly sameZone: readonly MemberRecord[];
  /** In other zones of the region. */
  readonly sameRegion: readonly MemberRecord[];
  /** In other regions. */
  readonly otherRegions: readonly MemberRecord[];
}

/** The delegates of each zone. All entries with the same members select the same delegates. */
export function delegatesByZone(
  candidates: Iterable<DelegateCandidate>,
): Map<ZoneId, DelegateCandidate[]> {
  const zones = new Map<ZoneId, DelegateCandidate[]>();
  for (const candidate of candidates) {
    const zone = zones.get(candidate.zone);
    if (zone === undefined) {
      zones.set(candidate.zone, [candidate]);
    } else {
      zone.push(candidate);
    }
  }
  for (const [zone, candidates] of zones) {
    zones.set(
      zone,
      rendezvous(`delegate ${zone}`, candidates, (candidate) => candidate.id)
        .slice(
          0,
          DELEGATES_PER_ZONE,
        ),
    );
  }
  return zones;
}

/** Selects the receivers of the heartbeats of beat number `beat`. */
export function planHeartbeat(
  self: EntryIdentity,
  members: Iterable<Member>,
  beat: number,
): HeartbeatPlan {
  const all = [...members].map((member) => member.record);
  const sameZone = pickRoundRobin(
    all.filter((record) => record.zone === self.zone),
    beat,
  );
  const delegates = delegatesByZone([self, ...all]);
  if (!isDelegateTurn(self, delegates.get(self.zone) ?? [], beat)) {
    return { sameZone, sameRegion: [], otherRegions: [] };
  }
  const others = all.filter((record) =>
    record.zone !== self.zone &&
    delegates.get(record.zone)?.some(({ incarnation }) =>
      incarnation === record.incarnation
    )
  );
  const round = Math.floor(beat / DELEGATES_PER_ZONE);
  const sameRegion = pickRoundRobin(
    others.filter((record) => record.region === self.region),
    round,
  );
  return {
    // A delegate that sends to another zone of the region leaves its zone to the other entries for this beat.
    sameZone: sameRegion.length > 0 ? [] : sameZone,
    sameRegion,
    otherRegions: pickRoundRobin(
      others.filter((record) => record.region !== self.region),
      round,
    ),
  };
}

/**
 * Whether this entry is the delegate whose turn it is to send to other zones. Delegates' beats are not
 * synchronized, which sometimes costs an extra message but is harmless.
 */
function isDelegateTurn(
  self: EntryIdentity,
  delegates: readonly DelegateCandidate[],
  beat: number,
): boolean {
  const index = delegates.findIndex((candidate) =>
    candidate.incarnation === self.incarnation
  );
  return index >= 0 &&
    (delegates.length === 1 || beat % DELEGATES_PER_ZONE === index);
}

function pickRoundRobin<Item extends { readonly incarnation: string }>(
  items: Item[],
  round: number,
): Item[] {
  if (items.length === 0) {
    return [];
  }
  const sorted = [...items].sort((
    left,
    right,
  ) => (left.incarnation < right.incarnation ? -1 : 1));
  return [sorted[round % sorted.length]!];
}
