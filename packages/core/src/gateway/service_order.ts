/**
 * The order in which the services of a route are tried.
 *
 * @module
 */
import type { ServiceId } from "../ids/index.ts";

/**
 * Returns the services of a route, starting with the one chosen by weight; the others follow in their order.
 * `position`, from 0 to below 1, selects a point on the line of all weights.
 */
export function orderServices(
  targets: readonly { readonly service: ServiceId; readonly weight: number }[],
  position: number,
): ServiceId[] {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = position * total;
  const index = targets.findIndex(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  const chosen = Math.max(0, index);
  return [...targets.slice(chosen), ...targets.slice(0, chosen)].map((
    { service },
  ) => service);
}
