/**
 * One entry's share of the slack: the retries that the fleet may make beside a fraction of its requests.
 *
 * @module
 */

/** An entry's share of the slack, and what it was derived from. */
export interface SlackShare {
  /** From 0 to 1. The fractions of all entries add up to 1 at the most. */
  readonly fraction: number;
  readonly regions: number;
  /** Entries of the region that may exist, 0 while that is not known. */
  readonly entries: number;
}

/** Part of a share that may be used in an instant. The rest accrues evenly over a window. */
const BURST_FRACTION = 0.25;

/**
 * Divides the slack. Each region has a fixed part, so that regions that cannot reach each other do not use the same one.
 * In a region each entry that may exist has an equal part, whether it answers or not: one that is silent may be cut off
 * and go on serving. An entry that does not know how many there are uses no slack.
 */
export function divideSlack(
  { regions, entries }: { regions: number; entries: number | undefined },
): SlackShare {
  return entries === undefined
    ? { fraction: 0, regions, entries: 0 }
    : { fraction: 1 / (Math.max(1, regions) * entries), regions, entries };
}

/**
 * Retries of a share that may be made within part of a window. A process has no burst until a whole window has passed
 * since its start: the process that ran before it on the same VM may have used it, and nothing remembers that.
 */
export function slackWithin(
  share: number,
  { beganBefore, windowFraction }: {
    /** Whether the window began before the process did. */
    beganBefore: boolean;
    /** Part of a window that has passed since both began. */
    windowFraction: number;
  },
): number {
  const burst = beganBefore ? 0 : BURST_FRACTION;
  const accrued = (1 - BURST_FRACTION) * Math.min(1, windowFraction);
  return share * (burst + accrued);
}
