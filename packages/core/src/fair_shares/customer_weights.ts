/**
 * Weights by which customers share capacity.
 *
 * @module
 */
import type { CustomerLimit } from "../customers/index.ts";
import type { CustomerId } from "../ids/index.ts";

/** Least weight of a customer as a share of the mean, so that a limit of zero starves nobody. */
const MIN_WEIGHT_SHARE = 0.01;
/** A customer, `undefined` for all requests without one. */
export type Sharer = CustomerId | undefined;

/**
 * Returns each customer's weight: its limit in tokens per second. A limit in requests is converted with the mean work
 * of a request. Requests without a customer, and customers without a limit, have the mean weight of the others.
 */
export function customerWeights(
  customers: Iterable<Sharer>,
  { limitOf, workPerRequest }: {
    limitOf: (customer: CustomerId) => CustomerLimit | undefined;
    workPerRequest: number;
  },
): Map<Sharer, number> {
  const limits = new Map<Sharer, number | undefined>();
  let sum = 0;
  let limited = 0;
  for (const customer of customers) {
    const limit = customer === undefined ? undefined : limitOf(customer);
    const weight = limit === undefined
      ? undefined
      : limit.perSecond * (limit.unit === "tokens" ? 1 : workPerRequest);
    limits.set(customer, weight);
    sum += weight ?? 0;
    limited += weight === undefined ? 0 : 1;
  }
  const mean = sum > 0 ? sum / limited : 1;
  return new Map(
    [...limits].map((
      [customer, weight],
    ) => [customer, Math.max(weight ?? mean, mean * MIN_WEIGHT_SHARE)]),
  );
}
