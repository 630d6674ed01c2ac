/**
 * Which entries of an availability zone watch the configuration service.
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
 * Watchers a zone. One is enough: every other zone has its own, and what any of them reads comes to this
 * zone by heartbeat while a watcher that died is not yet noticed.
 */
export const WATCHERS_PER_ZONE = 1;
/** Bytes a second that reading texts may cost one entry. */
const READ_BUDGET = 1_024;
/** Least and longest time between two reads of a zone; a change must be in force within 20 s. */
const LEAST_INTERVAL_MS = 1_000;
const LONGEST_INTERVAL_MS = 12_000;

/**
 * Whether `self` watches for what comes after `revision`.
 * The duty moves with each revision, so that reading large texts is shared evenly by a zone's
 * entries without anybody assigning it.
 */
export function hasWatchDuty(
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
 * Time between two watches of a zone. The service hands out whole texts only: a large text that changes
 * all the time is read less often, and several changes at once, so that reading it stays within the
 * budget of the entries that share the duty.
 */
export function watchInterval(
  textBytes: number,
  zoneMembers: number,
): Milliseconds {
  const perSecond = READ_BUDGET * Math.max(1, zoneMembers);
  const interval = (textBytes / perSecond) * 1_000;
  return milliseconds(
    Math.min(LONGEST_INTERVAL_MS, Math.max(LEAST_INTERVAL_MS, interval)),
  );
}

/** Live entries of the own zone, this one included. */
export function liveZone({ self, membership }: Blackboard): Incarnation[] {
  const zone: Incarnation[] = [self.incarnation];
  for (const { health, record } of membership.members.values()) {
    if (health === "live" && record.zone === self.zone) {
      zone.push(record.incarnation);
    }
  }
  return zone;
}
