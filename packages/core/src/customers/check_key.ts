/**
 * Decides whether a request's API key is accepted.
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
import type { FreshnessView } from "./document_freshness.ts";
import type { Customer } from "./customer.ts";
import type { CustomerDirectory } from "./customer_directory.ts";
import type { RefusedKeys } from "./refused_keys.ts";

/**
 * Maximum document age at which a recently refused key is refused again without a new read. Callers keep
 * sending after their key was revoked, and a read for each of their requests would dominate the load on the
 * platform.
 */
const REFUSED_KEY_MAX_AGE_MS = milliseconds(2_000);

/** Result of checking a request's key. */
export type KeyVerdict =
  | { readonly kind: "accepted"; readonly customer: Customer | undefined }
  /** The key is not in the current document; retrying does not help. */
  | { readonly kind: "unknown" }
  /** The held document is too old to decide. */
  | { readonly kind: "doubtful" };

/** The parts of a request that identify its customer. */
export interface KeyCheckInput {
  /** Whether the route requires no key. */
  readonly public: boolean;
  readonly key: KeyDigest | undefined;
  /** Customer found by the entry that relayed the request; `undefined` if it came directly from the caller. */
  readonly relayed: { readonly customer: CustomerId | undefined } | undefined;
  readonly arrivedAt: Instant;
}

/** State that the decision depends on. */
export interface KeyCheckContext {
  readonly customers: CustomerDirectory;
  readonly documentFreshness: FreshnessView;
  /** Keys that were missing from the current document when they were last checked. */
  readonly refused: RefusedKeys;
  /** Document age beyond which a key may have been revoked; `undefined` if no bound is guaranteed. */
  readonly maxAge: Milliseconds | undefined;
}

/**
 * Checks the key at the entry that the caller reached. Relayed requests carry only the customer's id.
 *
 * An entry whose document is outdated must not refuse a key that was just added, and an entry without a
 * connection must not accept a key that was revoked. In both cases the verdict is "doubtful" until the
 * document is known to be current.
 */
export function checkKey(
  { key, relayed, arrivedAt, ...facts }: KeyCheckInput,
  { customers, documentFreshness, refused, maxAge }: KeyCheckContext,
  now: Instant,
): KeyVerdict {
  if (relayed !== undefined) {
    const { customer } = relayed;
    return {
      kind: "accepted",
      customer: customer && resolveRelayedCustomer(customer, customers),
    };
  }
  if (facts.public || !customers.requiresKeys) {
    return { kind: "accepted", customer: undefined };
  }
  const customer = key === undefined ? undefined : customers.find(key);
  if (customer === undefined) {
    const isRefusalFinal = documentFreshness.isConfirmedSince(arrivedAt, now) ||
      refused.has(key) &&
        documentFreshness.isWithin(REFUSED_KEY_MAX_AGE_MS, now);
    if (!isRefusalFinal) {
      return { kind: "doubtful" };
    }
    refused.add(key);
    return { kind: "unknown" };
  }
  const isFresh = maxAge === undefined ||
    documentFreshness.isWithin(maxAge, now);
  return isFresh ? { kind: "accepted", customer } : { kind: "doubtful" };
}

/**
 * Returns the customer of a relayed request. A customer that this entry's document does not contain (yet or any
 * more) gets no limits or home regions: the entry that the caller reached has checked those already.
 */
function resolveRelayedCustomer(
  id: CustomerId,
  customers: CustomerDirectory,
): Customer {
  return customers.get(id) ??
    { id, keyDigests: [], rank: undefined, homes: [], limit: undefined };
}
