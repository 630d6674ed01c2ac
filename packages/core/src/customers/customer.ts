/**
 * Customers: who a request is from, as its key says.
 *
 * @module
 */
import type { CustomerId, KeyDigest, RegionId } from "../ids/index.ts";

/** What counts against a customer's limit. */
export type LimitUnit = "requests" | "tokens";

/** How much a customer may ask for over all entries together: a token bucket. */
export interface CustomerLimit {
  readonly unit: LimitUnit;
  /** Units that come back each second. */
  readonly perSecond: number;
  /** Units that may be asked for at once after a rest. */
  readonly burst: number;
  /** Tokens of a request that doesn't tell its own. */
  readonly plainTokens: number;
}

/** One customer. */
export interface Customer {
  readonly id: CustomerId;
  /** Digests of its keys. Keys themselves are kept nowhere. */
  readonly keyDigests: readonly KeyDigest[];
  /** Rank of all its requests, 0 first; `undefined` where that is their route's. */
  readonly rank: number | undefined;
  /** Regions in which its requests must stay, empty where they may be served anywhere. */
  readonly homes: readonly RegionId[];
  /** `undefined` where it may ask for any amount. */
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

/** Units that a request takes of a customer's limit. */
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
