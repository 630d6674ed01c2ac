/**
 * Bounds on rates.
 *
 * @module
 */

/** Most of the given instants within any span of `window` milliseconds. */
export function mostWithin(
  instants: readonly number[],
  window: number,
): number {
  let first = 0;
  return instants.reduce((most, at, index) => {
    while (instants[first]! <= at - window) {
      first++;
    }
    return Math.max(most, index - first + 1);
  }, 0);
}
