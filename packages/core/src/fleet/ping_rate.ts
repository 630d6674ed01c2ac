/**
 * How often an entry pings other members, and how many of them at once.
 *
 * @module
 */

/** With at most this many members, two are pinged each period: failures are detected sooner at little cost. */
const SMALL_FLEET_MEMBERS = 16;
/** Pings each period in a small fleet, and of an entry that is still joining. */
const MAX_PINGS_PER_PERIOD = 2;
/** Time between pings of an entry that is still joining. */
const JOIN_PERIOD_MS = 100;
/** Periods between pings of a standby entry in a large fleet. */
const STANDBY_PERIODS = 2;

/**
 * Milliseconds between pings. Standby entries of a large fleet ping half as often: they are most of its
 * members, and each member is still pinged about once a second.
 */
export function pingPeriod(
  { period, joining, members, standby }: {
    period: number;
    joining: boolean;
    members: number;
    standby: boolean;
  },
): number {
  if (joining) {
    return JOIN_PERIOD_MS;
  }
  return members > SMALL_FLEET_MEMBERS && standby
    ? period * STANDBY_PERIODS
    : period;
}

/** Number of members pinged each period. */
export function pingsPerPeriod(
  { joining, members }: { joining: boolean; members: number },
): number {
  return joining || members <= SMALL_FLEET_MEMBERS ? MAX_PINGS_PER_PERIOD : 1;
}
