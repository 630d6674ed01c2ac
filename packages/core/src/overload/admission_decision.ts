/**
 * Decides whether a request without a place waits for one or is refused.
 *
 * @module
 */
import type { Milliseconds } from "../ids/index.ts";

/**
 * Factor by which the expected wait has to exceed the time in which a request can still be on time before a request
 * that waits counts as hopeless. Estimates are rough, and a place may come free elsewhere.
 */
const HOPELESS_FACTOR = 1.5;
/**
 * Longest expected wait of a request that will be late, as a share of its remaining time and in milliseconds. A caller
 * that has not waited yet is better off with a time to return, for which room is kept, than with a long hold.
 */
const MAX_NEW_LATE_SHARE = 0.2;
const MAX_NEW_LATE_MS = 1_000;
const MAX_LATE_SHARE = 0.4;
const MAX_LATE_MS = 2_500;
/** The same share for a caller that has returned: refused twice, it has waited for nothing. */
const MAX_RETURNED_LATE_SHARE = 0.5;

/** What is known about a request, and the region's state from its point of view. */
export interface AdmissionFacts {
  /** Expected wait as a request that can be on time, and as a late one behind all others. `Infinity` if no end shows. */
  readonly waitOnTime: number;
  readonly waitLate: number;
  /** Time until the request has to be sent to be on time; negative if it is late. */
  readonly timeUntilLate: number;
  /** Time until the caller leaves. */
  readonly timeLeft: number;
  /** Whether the caller was refused before. */
  readonly returned: boolean;
}

/** Whether a new request waits: on time, or behind all others. */
export function mayWait(facts: AdmissionFacts): boolean {
  const { waitOnTime, waitLate, timeUntilLate, timeLeft, returned } = facts;
  return waitOnTime <= timeUntilLate ||
    (returned ? hasLateRoom(facts) : waitLate <=
      Math.min(MAX_NEW_LATE_MS, timeLeft * MAX_NEW_LATE_SHARE));
}

/** Whether a request that has waited for some time gets no place any more that is worth the wait. */
export function isHopeless(facts: AdmissionFacts): boolean {
  const canBeOnTime = facts.timeUntilLate > 0 &&
    facts.waitOnTime <= facts.timeUntilLate * HOPELESS_FACTOR;
  return !canBeOnTime && !hasLateRoom(facts);
}

/** Whether room for late requests shows in good time. */
function hasLateRoom(
  { waitLate, timeLeft, returned }: AdmissionFacts,
): boolean {
  const limit = returned
    ? timeLeft * MAX_RETURNED_LATE_SHARE
    : Math.min(MAX_LATE_MS, timeLeft * MAX_LATE_SHARE);
  return waitLate <= limit;
}

/** Expected wait behind `ahead` units where what goes first leaves `rate` units per millisecond. */
export function waitBehind(ahead: number, rate: number): Milliseconds {
  return (rate <= 0 ? Infinity : ahead / rate) as Milliseconds;
}
