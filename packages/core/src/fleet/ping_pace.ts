/**
 * How often an entry pings others, and how many at once.
 *
 * @module
 */

/** Up to so many members two are pinged a period: detection is quicker and still cheap. */
const SMALL_FLEET = 16;
/** Pings a period in a small fleet, and of an entry that is still getting to know a large one. */
const MOST_PINGS = 2;
/** Between pings of an entry that is still getting to know the fleet. */
const JOIN_PERIOD_MS = 100;
/** Periods between pings of an entry that stands by in a large fleet. */
const RESTING_PERIODS = 2;

/**
 * Milliseconds between pings. In a large fleet those that stand by ping half as often: they are most of
 * it, and each member is still pinged about once a second.
 */
export function pingPeriod(
  { period, joining, members, resting }: {
    period: number;
    joining: boolean;
    members: number;
    resting: boolean;
  },
): number {
  if (joining) {
    return JOIN_PERIOD_MS;
  }
  return members > SMALL_FLEET && resting ? period * RESTING_PERIODS : period;
}

/** Members pinged at once. */
export function pingsOf(
  { joining, members }: { joining: boolean; members: number },
): number {
  return joining || members <= SMALL_FLEET ? MOST_PINGS : 1;
}
