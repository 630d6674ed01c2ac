/**
 * Weighted max-min fairness: how much each of several customers gets of a capacity.
 *
 * @module
 */

/** What a customer asks for, and its weight. */
export interface WeightedDemand {
  readonly demand: number;
  /** Above zero. */
  readonly weight: number;
}

/**
 * Returns the level at which a capacity is used up, as capacity per unit of weight. A customer gets what it asks for,
 * at most its weight times the level. `Infinity` if the capacity is enough for all.
 */
export function fairLevel(
  demands: readonly WeightedDemand[],
  capacity: number,
): number {
  const byLevel = [...demands].sort((left, right) =>
    left.demand / left.weight - right.demand / right.weight
  );
  let weight = byLevel.reduce((sum, item) => sum + item.weight, 0);
  let left = capacity;
  for (const item of byLevel) {
    const level = left / weight;
    if (item.demand > level * item.weight) {
      return level;
    }
    left -= item.demand;
    weight -= item.weight;
  }
  return Infinity;
}
