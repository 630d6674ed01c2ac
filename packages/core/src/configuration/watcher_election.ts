/**
 * Elects the entries of an availability zone that watch the configuration service.
 *
 * @module
 */
import type { Blackboard } from "../blackboard/index.ts";
import {
  type Incarnation,
  type Milliseconds,
  milliseconds,
  rendezvous,
  type Revision,
} from "../ids/index.ts";

/**
 * Number of watchers per zone. One is enough: if it dies, heartbeats bring the revisions read by watchers of
 * other zones until the failure is detected.
 */
export const WATCHERS_PER_ZONE = 1;
/** Bytes per second that an entry may spend on reading texts. */
const READ_BUDGET_BYTES_PER_S = 1_024;
/** Bounds of the time between two reads of a zone. A change must be in force within 20 s. */
const MIN_ZONE_READ_INTERVAL_MS = 1_000;
const MAX_ZONE_READ_INTERVAL_MS = 12_000;

/**
 * Returns whether `self` watches for revisions after `revision`. Each revision elects another watcher by
 * rendezvous hashing, which spreads the reading of large texts evenly over a zone without coordination.
 */
export function isWatcher(
  self: Incarnation,
  revision: Revision,
  zoneMembers: Iterable<Incarnation>,
): boolean {
  const ranked = rendezvous(
    `watch ${revision}`,
    zoneMembers,
    (member) => member,
  );
  return ranked.slice(0, WATCHERS_PER_ZONE).includes(self);
}

/**
 * Returns the time between two watches of a zone. The service returns whole texts only, so a large text that
 * changes constantly is read less often, several changes at once, to stay within the read budget of the
 * zone's entries.
 */
export function watchInterval(
  textBytes: number,
  zoneMembers: number,
): Milliseconds {
  const bytesPerSecond = READ_BUDGET_BYTES_PER_S * Math.max(1, zoneMembers);
  const interval = (textBytes / bytesPerSecond) * 1_000;
  return milliseconds(
    Math.min(
      MAX_ZONE_READ_INTERVAL_MS,
      Math.max(MIN_ZONE_READ_INTERVAL_MS, interval),
    ),
  );
}

/** Returns the live entries of the own zone, including this one. */
export function liveZoneMembers(
  { self, membership }: Blackboard,
): Incarnation[] {
  const members: Incarnation[] = [self.incarnation];
  for (const { health, record } of membership.members.values()) {
    if (health === "live" && record.zone === self.zone) {
      members.push(record.incarnation);
    }
  }
  return members;
}
