/**
 * What a request's key is worth at this moment.
 *
 * @module
 */
import {
  type CustomerId,
  type Instant,
  type KeyDigest,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { CurrencyView } from "./currency.ts";
import type { Customer } from "./customer.ts";
import type { CustomerDirectory } from "./customer_directory.ts";
import type { RefusedKeys } from "./refused_keys.ts";

/**
 * Age of the document by which a key is refused again: callers whose key is gone go on sending, and a read for
 * each of their requests would be most of what the platform is asked.
 */
const REFUSED_AGE = milliseconds(2_000);

/** Whose a request is. */
export type KeyVerdict =
  | { readonly kind: "accepted"; readonly customer: Customer | undefined }
  /** No document holds the key: asking again is of no use. */
  | { readonly kind: "unknown" }
  /** What is held is too old to say. */
  | { readonly kind: "doubtful" };

/** What a request says of its customer. */
export interface KeyFacts {
  /** Whether its route needs none. */
  readonly public: boolean;
  readonly key: KeyDigest | undefined;
  /** As the entry found that the caller reached, `undefined` at that entry. */
  readonly relayed: { readonly customer: CustomerId | undefined } | undefined;
  readonly arrivedAt: Instant;
}

/** What it is judged by. */
export interface KeyGrounds {
  readonly customers: CustomerDirectory;
  readonly currency: CurrencyView;
  /** Keys that no document held when they were last asked for. */
  readonly refused: RefusedKeys;
  /** Age from which on a key may have been taken away; `undefined` where no bound was promised. */
  readonly bound: Milliseconds | undefined;
}

/**
 * Judges a key where its caller reached the fleet; from there on only the customer's name travels.
 *
 * An entry that lags must not turn away a key that was just added, and one that was cut off must not
 * accept one that is gone: both are in doubt until the document is known to be current.
 */
export function judgeKey(
  { key, relayed, arrivedAt, ...facts }: KeyFacts,
  { customers, currency, refused, bound }: KeyGrounds,
  now: Instant,
): KeyVerdict {
  if (relayed !== undefined) {
    const { customer } = relayed;
    return {
      kind: "accepted",
      customer: customer && named(customer, customers),
    };
  }
  if (facts.public || !customers.required) {
    return { kind: "accepted", customer: undefined };
  }
  const customer = key === undefined ? undefined : customers.find(key);
  if (customer === undefined) {
    const certain = currency.isProvenSince(arrivedAt, now) ||
      refused.has(key) && currency.isWithin(REFUSED_AGE, now);
    if (!certain) {
      return { kind: "doubtful" };
    }
    refused.note(key);
    return { kind: "unknown" };
  }
  const fresh = bound === undefined || currency.isWithin(bound, now);
  return fresh ? { kind: "accepted", customer } : { kind: "doubtful" };
}

/** A customer that this entry does not know yet, or no more: its first entry has checked its homes. */
function named(id: CustomerId, customers: CustomerDirectory): Customer {
  return customers.get(id) ??
    { id, keyDigests: [], rank: undefined, homes: [], limit: undefined };
}
