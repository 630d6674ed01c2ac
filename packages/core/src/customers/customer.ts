/**
 * Customers: the senders of requests, identified by their API keys.
 *
 * @module
 */
import type { CustomerId, KeyDigest, RegionId } from "../ids/index.ts";

/** What is counted against a customer's limit. */
export type LimitUnit = "requests" | "tokens";

/** A customer's rate limit across all entries together, as the parameters of a token bucket. */
export interface CustomerLimit {
  readonly unit: LimitUnit;
  /** Units added to the bucket per second. */
  readonly perSecond: number;
  /** Capacity of the bucket: units that may be used at once after an idle period. */
  readonly burst: number;
  /** Tokens charged for a request that does not state its token counts. */
  readonly plainTokens: number;
}

/** One customer. */
export interface Customer {
  readonly id: CustomerId;
  /** Digests of the customer's keys. The keys themselves are never stored. */
  readonly keyDigests: readonly KeyDigest[];
  /** Priority of all of the customer's requests, 0 being the highest; `undefined` to use the route's priority. */
  readonly rank: number | undefined;
  /** Regions that the customer's requests must not leave; empty if any region may serve them. */
  readonly homes: readonly RegionId[];
  /** `undefined` if the customer's usage is unlimited. */
  readonly limit: CustomerLimit | undefined;
}

/** Whether a customer's requests may be served in a region. */
export function mayServeCustomer(
  customer: Pick<Customer, "homes"> | undefined,
  region: RegionId,
): boolean {
  const homes = customer?.homes ?? [];
  return homes.length === 0 || homes.includes(region);
}

/** Units that a request uses of a customer's limit. */
export function costOf(
  { unit, plainTokens }: CustomerLimit,
  prompt:
    | { readonly promptTokens: number; readonly outputTokens: number }
    | undefined,
): number {
  if (unit === "requests") {
    return 1;
  }
  return prompt === undefined
    ? plainTokens
    : prompt.promptTokens + prompt.outputTokens;
}
