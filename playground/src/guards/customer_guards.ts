/**
 * Guards of customers' keys and limits.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const CUSTOMERS = "packages/core/src/customers";
const GATEWAY = "packages/core/src/gateway";
const PLATFORM = "platform/src";
const KEYS = "routes: customers' keys";
const LIMITS = "routes: customers' limits";

/** Guards of customers' keys and limits. */
export const CUSTOMER_GUARDS: readonly Guard[] = [
  {
    point: KEYS,
    name: "a key is accepted from a document that is known to be current",
    file: `${CUSTOMERS}/check_key.ts`,
    find: "const isFresh = maxAge === undefined ||",
    replace: "const isFresh = maxAge !== undefined ||",
  },
  {
    point: KEYS,
    name:
      "an unknown key is refused for good by a picture that is newer than its request",
    file: `${CUSTOMERS}/check_key.ts`,
    find: "if (!isRefusalFinal) {",
    replace: "if (!isRefusalFinal && now < 0) {",
  },
  {
    point: KEYS,
    name: "a lease runs from the sending of the read",
    file: `${GATEWAY}/freshness_proofs.ts`,
    find:
      "this.#documentFreshness.addProof({ version, at: this.#readSentAt });",
    replace:
      "this.#documentFreshness.addProof({ version, at: Infinity as never });",
  },
  {
    point: KEYS,
    name:
      "what another entry knows is as old as its answer and the time since the question",
    file: `${GATEWAY}/freshness_exchange.ts`,
    find: "const at = question.sentAt - age as FreshnessMark;",
    replace: "const at = documentFreshness.mark(now) as FreshnessMark;",
  },
  {
    point: KEYS,
    name: "a lease runs on while the machine is suspended",
    file: `${CUSTOMERS}/document_freshness.ts`,
    find: "this.#suspendedMs += duration;",
    replace: "this.#suspendedMs += 0 * duration;",
  },
  {
    point: KEYS,
    name:
      "changes prove something only where each up to the newest revision is named",
    file: `${GATEWAY}/freshness_proofs.ts`,
    find: 'return reaches ? { kind: "reaches", revision: newer } : ' +
      '{ kind: "newest" };',
    replace: 'return { kind: "none" };',
    also: [{
      file: `${GATEWAY}/freshness_proofs.ts`,
      find: "this.#changesProveFreshness = requiresKeys && !reaches;",
      replace: "this.#changesProveFreshness = requiresKeys;",
    }],
  },
  {
    point: KEYS,
    name: "a document that another entry has proves nothing for an older one",
    file: `${CUSTOMERS}/document_freshness.ts`,
    find: "if (proof.version > this.#version) {",
    replace: "if (proof.version > Infinity) {",
  },
  {
    point: KEYS,
    name: "the key ends with the entry that the caller reached",
    file: `${PLATFORM}/names.ts`,
    find: "  HEADERS.key,\n  HEADERS.customer,\n",
    replace: "  HEADERS.customer,\n",
  },
  {
    point: KEYS,
    name: "a caller's own name of a customer goes no further",
    file: `${PLATFORM}/names.ts`,
    find: "  HEADERS.key,\n  HEADERS.customer,\n",
    replace: "  HEADERS.key,\n",
  },
  {
    point: KEYS,
    name: "homes of a customer bind beside those of a route",
    file: `${GATEWAY}/call.ts`,
    find: "mayServeCustomer(this.customer, region);",
    replace: "(this.customer === undefined || region.length > 0);",
  },
  {
    point: KEYS,
    name: "a request that is passed on keeps its customer",
    file: `${CUSTOMERS}/check_key.ts`,
    find: "customer && resolveRelayedCustomer(customer, customers)",
    replace: "customer && undefined",
  },
  {
    point: LIMITS,
    name: "what others let in is taken off",
    file: `${CUSTOMERS}/limit_accounts.ts`,
    find: "account.bucket.charge(sum);",
    replace: "account.bucket.charge(0 * sum);",
  },
  {
    point: LIMITS,
    name: "each side of a cut keeps the part that was agreed",
    file: `${CUSTOMERS}/spending_aggregator.ts`,
    find: "if (reachable.length === this.#regions.length) {",
    replace: "if (reachable.length >= 0) {",
  },
  {
    point: LIMITS,
    name: "a process that hears nobody begins with its own part of the burst",
    file: `${CUSTOMERS}/limit_accounts.ts`,
    find: "const level = limit.burst * share;",
    replace: "const level = limit.burst;",
    also: [{
      file: `${CUSTOMERS}/limit_bucket.ts`,
      find: "const shareCapacity = this.#limit.burst * share;",
      replace: "const shareCapacity = this.#limit.burst;",
    }],
  },
  {
    point: LIMITS,
    name: "what a refused request took comes back",
    file: `${GATEWAY}/call_admission.ts`,
    find: "this.#deps.limits.refund(customer.id, charged, now);",
    replace: "",
  },
  {
    point: LIMITS,
    name: "one that was passed on is not counted twice",
    file: `${GATEWAY}/call_admission.ts`,
    find:
      "const limit = head.relay === undefined ? customer?.limit : undefined;",
    replace: "const limit = customer?.limit;",
  },
  {
    point: LIMITS,
    name:
      "a customer's waiting requests follow each other at the pace of its limit",
    file: `${GATEWAY}/call_queue.ts`,
    find: "item.virtualTime += offset;",
    replace: "item.virtualTime += 0 * offset;",
  },
];
