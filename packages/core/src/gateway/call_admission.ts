/**
 * Whether an arrived request is let in: its route, its customer's key, its customer's limit.
 *
 * @module
 */
import {
  costOf,
  type Customer,
  type CustomerLimits,
  judgeKey,
  RefusedKeys,
} from "../customers/index.ts";
import type { Instant, Milliseconds, RequestId } from "../ids/index.ts";
import type { Route, RouteTable } from "../routes/index.ts";
import { ArrivalHold, type HeldCall } from "./arrival_hold.ts";
import type { Call } from "./call.ts";
import type { CallEnds } from "./call_ends.ts";
import type { CatalogueView } from "./catalogue_view.ts";

/** What others let in is waited for so long: twice the way to the region's keeper, and a tick. */
const UNHEARD_MS = 150;

/** A request that is let in. */
export interface AdmittedCall extends HeldCall {
  readonly route: Route;
  readonly customer: Customer | undefined;
  /** Units that it took of its customer's limit. */
  readonly cost: number;
}

/** What admission works with. */
export interface AdmissionTools {
  readonly catalogue: CatalogueView;
  readonly limits: CustomerLimits;
  /** Age of the document from which on keys are in doubt, `undefined` where they never are. */
  readonly keyLifetime: () => Milliseconds | undefined;
  readonly ends: CallEnds;
  readonly begin: (admitted: AdmittedCall, now: Instant) => void;
}

/** Lets requests in, refuses them, or holds them for word that is on its way. */
export class CallAdmission {
  readonly #tools: AdmissionTools;
  readonly #refusedKeys = new RefusedKeys();
  /** Whose key or limit cannot be judged at this moment. */
  readonly #doubtful = new ArrivalHold();

  constructor(tools: AdmissionTools) {
    this.#tools = tools;
  }

  /** Requests that are held. */
  get size(): number {
    return this.#doubtful.size;
  }

  /** The caller has left; whether its request was held. */
  remove(id: RequestId): boolean {
    return this.#doubtful.remove(id);
  }

  takeAll(): HeldCall[] {
    return this.#doubtful.takeAll();
  }

  judge(table: RouteTable, held: HeldCall, now: Instant): void {
    const { head, arrivedAt } = held;
    const { catalogue, ends, keyLifetime } = this.#tools;
    const route = table.find(head.host, head.target);
    if (route === undefined) {
      const { version } = table.document;
      return ends.refuseUnrouted({ head, version }, now);
    }
    const facts = { key: head.key, relayed: head.relay, arrivedAt };
    const verdict = judgeKey({ ...facts, public: route.public }, {
      customers: table.customers,
      currency: catalogue.currency,
      refused: this.#refusedKeys,
      bound: keyLifetime(),
    }, now);
    switch (verdict.kind) {
      case "unknown":
        return ends.refuseHead(head, "unknown_key");
      case "doubtful":
        return this.#doubtKey(held, now);
      case "accepted":
        return this.#limit(held, { route, customer: verdict.customer }, now);
    }
  }

  /** Something was heard, or time has passed. */
  judgeAgain(now: Instant): void {
    const { table } = this.#tools.catalogue;
    if (this.#doubtful.size > 0 && table !== undefined) {
      this.#doubtful.takeAll().forEach((held) => this.judge(table, held, now));
    }
  }

  /** A request that was let in has not run, and never will. */
  giveBack({ customer, charged }: Call, now: Instant): void {
    if (customer !== undefined && charged > 0) {
      this.#tools.limits.giveBack(customer.id, charged, now);
    }
  }

  /** Waits for the read that will tell, unless there is none to wait for. */
  #doubtKey(held: HeldCall, now: Instant): void {
    if (now < held.until && this.#tools.catalogue.noteDoubt(now)) {
      return this.#doubtful.keep(held);
    }
    this.#tools.ends.refuseHead(held.head, "key_in_doubt");
  }

  /** Lets a request in as far as its customer's limit goes. One that was passed on was let in before. */
  #limit(
    held: HeldCall,
    { route, customer }: { route: Route; customer: Customer | undefined },
    now: Instant,
  ): void {
    const { head, arrivedAt } = held;
    const { limits, ends, begin } = this.#tools;
    const limit = head.relay === undefined ? customer?.limit : undefined;
    if (limit === undefined) {
      return begin({ ...held, route, customer, cost: 0 }, now);
    }
    const cost = costOf(limit, head.prompt);
    const hurried = now - arrivedAt >= UNHEARD_MS;
    const verdict = limits.take(customer!, { cost, hurried }, now);
    switch (verdict.kind) {
      case "unheard":
        return this.#doubtful.keep(held);
      case "over": {
        const facts = { wait: verdict.wait, customer: customer!.id };
        return ends.refuseHead(head, "over_limit", facts);
      }
      case "admitted":
        return begin({ ...held, route, customer, cost }, now);
    }
  }
}
