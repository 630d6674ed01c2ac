/**
 * Admission of arrived requests: finds the route, checks the customer's key and applies the customer's limit.
 *
 * @module
 */
import {
  checkKey,
  costOf,
  type Customer,
  type CustomerLimits,
  RefusedKeys,
} from "../customers/index.ts";
import type { Instant, Milliseconds, RequestId } from "../ids/index.ts";
import type { Route, RouteTable } from "../routes/index.ts";
import { type PendingCall, PendingCalls } from "./pending_calls.ts";
import type { Call } from "./call.ts";
import type { CallOutcomes } from "./call_outcomes.ts";
import type { CatalogueView } from "./catalogue_view.ts";

/** Longest wait for other entries' usage: a round trip to the region's spending aggregator, and one tick. */
const LIMIT_REPORT_WAIT_MS = 150;

/** A request that was admitted. */
export interface AdmittedCall extends PendingCall {
  readonly route: Route;
  readonly customer: Customer | undefined;
  /** Units charged against the customer's limit. */
  readonly cost: number;
}

/** Dependencies of `CallAdmission`. */
export interface AdmissionDependencies {
  readonly catalogue: CatalogueView;
  readonly limits: CustomerLimits;
  /** Age of the document from which keys are no longer trusted, `undefined` where there is no such limit. */
  readonly keyLifetime: () => Milliseconds | undefined;
  readonly outcomes: CallOutcomes;
  readonly begin: (admitted: AdmittedCall, now: Instant) => void;
}

/** Admits or refuses requests, or holds them until the data needed for the decision has arrived. */
export class CallAdmission {
  readonly #deps: AdmissionDependencies;
  readonly #refusedKeys = new RefusedKeys();
  /** Requests whose key or limit cannot be checked yet. */
  readonly #pending = new PendingCalls();

  constructor(deps: AdmissionDependencies) {
    this.#deps = deps;
  }

  /** Number of requests that wait for a decision. */
  get size(): number {
    return this.#pending.size;
  }

  /** Removes the request of a caller that left. Returns whether it waited here. */
  remove(id: RequestId): boolean {
    return this.#pending.remove(id);
  }

  takeAll(): PendingCall[] {
    return this.#pending.takeAll();
  }

  admit(table: RouteTable, pending: PendingCall, now: Instant): void {
    const { head, arrivedAt } = pending;
    const { catalogue, outcomes, keyLifetime } = this.#deps;
    const route = table.find(head.host, head.target);
    if (route === undefined) {
      const { version } = table.document;
      return outcomes.refuseUnrouted({ head, version }, now);
    }
    const facts = { key: head.key, relayed: head.relay, arrivedAt };
    const verdict = checkKey({ ...facts, public: route.public }, {
      customers: table.customers,
      documentFreshness: catalogue.documentFreshness,
      refused: this.#refusedKeys,
      maxAge: keyLifetime(),
    }, now);
    switch (verdict.kind) {
      case "unknown":
        return outcomes.refuseHead(head, "unknown_key");
      case "doubtful":
        return this.#holdForCatalogue(pending, now);
      case "accepted":
        return this.#applyLimit(
          pending,
          { route, customer: verdict.customer },
          now,
        );
    }
  }

  /** Checks waiting requests again, after new data or some time. */
  retryPending(now: Instant): void {
    const { table } = this.#deps.catalogue;
    if (this.#pending.size > 0 && table !== undefined) {
      this.#pending.takeAll().forEach((pending) =>
        this.admit(table, pending, now)
      );
    }
  }

  /** Refunds the units of an admitted request that did not run and never will. */
  refund({ customer, charged }: Call, now: Instant): void {
    if (customer !== undefined && charged > 0) {
      this.#deps.limits.refund(customer.id, charged, now);
    }
  }

  /** Holds a request until the catalogue has been read again, or refuses it where no read can be waited for. */
  #holdForCatalogue(pending: PendingCall, now: Instant): void {
    if (now < pending.until && this.#deps.catalogue.readForUnknownKey(now)) {
      return this.#pending.put(pending);
    }
    this.#deps.outcomes.refuseHead(pending.head, "key_in_doubt");
  }

  /** Applies the customer's limit. For a relayed request the first entry has already done so. */
  #applyLimit(
    pending: PendingCall,
    { route, customer }: { route: Route; customer: Customer | undefined },
    now: Instant,
  ): void {
    const { head, arrivedAt } = pending;
    const { limits, outcomes, begin } = this.#deps;
    const limit = head.relay === undefined ? customer?.limit : undefined;
    if (limit === undefined) {
      return begin({ ...pending, route, customer, cost: 0 }, now);
    }
    const cost = costOf(limit, head.prompt);
    const hurried = now - arrivedAt >= LIMIT_REPORT_WAIT_MS;
    const verdict = limits.take(customer!, { cost, hurried }, now);
    switch (verdict.kind) {
      case "unheard":
        return this.#pending.put(pending);
      case "over": {
        const facts = { wait: verdict.wait, customer: customer!.id };
        return outcomes.refuseHead(head, "over_limit", facts);
      }
      case "admitted":
        return begin({ ...pending, route, customer, cost }, now);
    }
  }
}
