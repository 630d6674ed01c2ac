/**
 * Decides whether a request without a place waits for one or is refused.
 *
 * @module
 */
import type { Milliseconds } from "../ids/index.ts";

/**
 * Share of the time in which a request can still be on time that it may expect to wait. The rest is for what the
 * estimate doesn't know: a queue that just fits makes every request late at the first disturbance.
 */
const MAX_ON_TIME_SHARE = 0.7;
/** Share by which the expected wait has to exceed that time before a request that waits already counts as hopeless. */
const HOPELESS_FACTOR = 1.2;
/** Share of its remaining time that a late request may expect to wait, and one whose caller has returned. */
const MAX_LATE_SHARE = 0.3;
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
  return facts.waitOnTime <= facts.timeUntilLate * MAX_ON_TIME_SHARE ||
    hasLateRoom(facts);
}

/** Whether a request that has waited for some time gets no place any more that is worth the wait. */
export function isHopeless(facts: AdmissionFacts): boolean {
  const canBeOnTime = facts.timeUntilLate > 0 &&
    facts.waitOnTime <= facts.timeUntilLate * HOPELESS_FACTOR;
  return !canBeOnTime && !hasLateRoom(facts);
}

/** Whether room for late requests shows in good time. A caller that is refused twice has waited for nothing. */
function hasLateRoom(
  { waitLate, timeLeft, returned }: AdmissionFacts,
): boolean {
  const share = returned ? MAX_RETURNED_LATE_SHARE : MAX_LATE_SHARE;
  return waitLate <= timeLeft * share;
}

/** Expected wait behind `ahead` units where what goes first leaves `rate` units per millisecond. */
export function waitBehind(ahead: number, rate: number): Milliseconds {
  return (ahead <= 0 ? 0 : rate <= 0 ? Infinity : ahead / rate) as Milliseconds;
}
