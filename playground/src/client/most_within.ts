/**
 * Checks of request rates over a sliding window.
 *
 * @module
 */

/** Returns the largest number of the given ascending times that lie within any window of `windowMs` milliseconds. */
export function mostWithin(
  times: readonly number[],
  windowMs: number,
): number {
  let first = 0;
  return times.reduce((max, at, index) => {
    while (times[first]! <= at - windowMs) {
      first++;
    }
    return Math.max(max, index - first + 1);
  }, 0);
}
