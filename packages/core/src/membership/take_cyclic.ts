/**
 * Round-robin selection.
 *
 * @module
 */

/** Returns up to `count` items from index `start` on, wrapping around at the end. */
export function takeCyclic<Item>(
  items: readonly Item[],
  start: number,
  count: number,
): Item[] {
  const picked = Math.max(0, Math.min(count, items.length));
  return Array.from(
    { length: picked },
    (_, index) => items[(start + index) % items.length]!,
  );
}
