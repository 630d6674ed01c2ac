/**
 * Customers' limits over all entries without shared state.
 *
 * Each entry keeps a copy of each customer's bucket and takes from it what it lets in. One entry a region
 * adds up what its entries let in, tells each of them what the others did, and exchanges sums with the
 * keepers of other regions. While all hear each other a customer may spend its whole limit anywhere;
 * nobody divides a limit that is smaller than a request. Who does not hear the others uses no more than the
 * part that it used before, so that the parts of two halves add up to the whole.
 *
 * @module
 */
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type RegionId,
} from "../ids/index.ts";
import type { Customer, CustomerLimit } from "./customer.ts";
import { LimitAccounts } from "./limit_accounts.ts";
import type { LimitBucket } from "./limit_bucket.ts";
import { HEARD_MS, SpendingKeeper } from "./spending_keeper.ts";
import type {
  CustomerTotal,
  SpendingMessage,
  SpendingReport,
  SpendingTotals,
} from "./spending_messages.ts";

/** Between two messages while some customer is near its limit, and otherwise. */
const NEAR_PERIOD_MS = 100;
const CALM_PERIOD_MS = 200;
/** All sums are told again this often: a lost datagram is made up for. */
const WHOLE_PERIOD_MS = 2_000;
/** An entry that let nothing in for so long is told nothing more. */
const ACTIVE_MS = 2_000;
/** Those that were turned away return spread over this part more than they were told. */
const RETURN_SPREAD = 0.25;

/** Nobody is told to stay away for longer: limits change. */
const MOST_RETURN_MS = 5_000;

/** What becomes of a request. */
export type LimitVerdict =
  | { readonly kind: "admitted" }
  /** Beyond the limit; it fits after this time. */
  | { readonly kind: "over"; readonly wait: Milliseconds }
  /** What others let in is not known yet, and will be in a moment. */
  | { readonly kind: "unheard" };

/** What the limits work with. */
export interface LimitSources {
  readonly self: {
    readonly incarnation: Incarnation;
    readonly region: RegionId;
  };
  readonly regions: readonly RegionId[];
  readonly random: Randomness;
  /**
   * The entry that adds up for a region. `undefined` where none is known, and for the own region where most
   * of its entries are not heard: cut off, each of them would think itself the keeper.
   */
  readonly keeperOf: (region: RegionId, now: Instant) =>
    | Incarnation
    | undefined;
  /** Whether any customer has a limit. */
  readonly limited: () => boolean;
  /** What the document in force allows a customer. */
  readonly limitOf: (customer: CustomerId) => CustomerLimit | undefined;
  /** Entries that may be alive, this one included. */
  readonly entries: () => number;
  readonly send: (to: Incarnation, message: SpendingMessage) => void;
}

/** The keeper as this entry hears it. */
interface HeardKeeper {
  readonly incarnation: Incarnation;
  /** What it told last. */
  readonly totals: Map<CustomerId, CustomerTotal>;
  heardAt: Instant | undefined;
  near: boolean;
}

/** One entry's limits, and for a while its region's sums. */
export class CustomerLimits {
  readonly #sources: LimitSources;
  readonly #accounts: LimitAccounts;
  /** Units let in since the start. */
  readonly #spent = new Map<CustomerId, number>();
  readonly #changed = new Set<CustomerId>();
  readonly #keeping: SpendingKeeper;
  #keeper: HeardKeeper | undefined;
  /** When this entry last told its own sums, and as a keeper those of all. */
  #reportedAt = -Infinity;
  #totalsAt = -Infinity;
  #wholeAt = -Infinity;
  #spentAt = -Infinity;
  #told = false;

  constructor(sources: LimitSources) {
    this.#sources = sources;
    this.#keeping = new SpendingKeeper(sources.self.region, sources.regions);
    this.#accounts = new LimitAccounts({
      entries: sources.entries,
      // A keeper has an account of every customer that is told of; others of those that ask them.
      limitOf: (id) => this.#keeps ? sources.limitOf(id) : undefined,
      hears: (now) => this.#hears(now),
      keptPart: (id, now) =>
        this.#keeps ? this.#keeping.heardPart(id, now) : undefined,
      told: (id) => this.#keeper?.totals.get(id),
    });
  }

  /** Lets a request in, or says when it would be. `hurried`: nothing more is waited for. */
  take(
    { id, limit }: Pick<Customer, "id" | "limit">,
    { cost, hurried }: { cost: number; hurried: boolean },
    now: Instant,
  ): LimitVerdict {
    if (limit === undefined) {
      return { kind: "admitted" };
    }
    this.#spentAt = now;
    this.#follow(now);
    const account = this.#accounts.open({ id, limit }, now);
    if (!this.#hears(now) && !hurried) {
      this.#report(now, NEAR_PERIOD_MS);
      return { kind: "unheard" };
    }
    const part = this.#accounts.refill(account, now);
    if (!account.bucket.take(cost)) {
      return {
        kind: "over",
        wait: this.#wait(account.bucket, { cost, part }, now),
      };
    }
    this.#spend(id, cost, now);
    return { kind: "admitted" };
  }

  /** A request that was let in did not run. */
  giveBack(customer: CustomerId, cost: number, now: Instant): void {
    this.#accounts.find(customer)?.bucket.charge(-cost);
    this.#spend(customer, -cost, now);
  }

  /** Takes what another entry tells. */
  receive(message: SpendingMessage, now: Instant): void {
    this.#follow(now);
    if (message.kind === "report") {
      this.#learnReport(message, now);
      this.tick(now);
    } else if (message.region === this.#sources.self.region) {
      this.#learnOwnTotals(message, now);
    } else if (this.#keeps) {
      this.#accounts.charge(this.#keeping.learnTotals(message, now), now);
      message.totals.forEach((total) => this.#accounts.settle(total, now));
    }
  }

  /** Tells what is due. */
  tick(now: Instant): void {
    if (!this.#sources.limited()) {
      return;
    }
    this.#follow(now);
    if (this.#keeps) {
      this.#tellTotalsIfDue(now);
    } else if (now - this.#spentAt <= ACTIVE_MS) {
      this.#report(now, this.#period);
    }
  }

  get #keeps(): boolean {
    return this.#keeper?.incarnation === this.#sources.self.incarnation;
  }

  get #period(): number {
    const near = this.#keeper?.near === true || this.#accounts.isNear();
    return near ? NEAR_PERIOD_MS : CALM_PERIOD_MS;
  }

  /** Whether what others let in is known. */
  #hears(now: Instant): boolean {
    const heardAt = this.#keeper?.heardAt;
    return this.#keeps || heardAt !== undefined && now - heardAt <= HEARD_MS;
  }

  /** Looks who adds up at present. */
  #follow(now: Instant): void {
    const { keeperOf, self } = this.#sources;
    const incarnation = keeperOf(self.region, now);
    if (incarnation !== this.#keeper?.incarnation) {
      this.#keeper = incarnation === undefined ? undefined : {
        incarnation,
        totals: new Map(),
        heardAt: undefined,
        near: false,
      };
      this.#wholeAt = -Infinity;
      this.#reportedAt = -Infinity;
    }
  }

  #wait(
    bucket: LimitBucket,
    { cost, part }: { cost: number; part: number },
    now: Instant,
  ): Milliseconds {
    const wait = bucket.waitFor(cost, Math.max(part, Number.EPSILON), now);
    const spread = 1 + RETURN_SPREAD * this.#sources.random.next();
    return milliseconds(Math.min(wait * spread, MOST_RETURN_MS));
  }

  #spend(customer: CustomerId, cost: number, now: Instant): void {
    this.#spent.set(customer, (this.#spent.get(customer) ?? 0) + cost);
    this.#changed.add(customer);
    this.#accounts.find(customer)?.own.add(cost, now);
    if (this.#keeps) {
      this.#noteOwn(now);
    }
  }

  /** A keeper counts itself as one of its region's entries. */
  #noteOwn(now: Instant): void {
    this.#keeping.learnReport(this.#nextReport(now, false), now);
  }

  #learnReport(report: SpendingReport, now: Instant): void {
    if (!this.#keeps) {
      return;
    }
    const since = now - HEARD_MS as Instant;
    const heard = this.#keeping.hearsEntry(report.incarnation, since);
    this.#accounts.charge(this.#keeping.learnReport(report, now), now);
    if (!heard) {
      this.#sendTotals(report.incarnation, now);
    }
  }

  #learnOwnTotals(
    { incarnation, near, totals }: SpendingTotals,
    now: Instant,
  ): void {
    const keeper = this.#keeper;
    if (keeper === undefined || keeper.incarnation !== incarnation) {
      return;
    }
    const begins = !this.#hears(now);
    if (begins) {
      this.#accounts.unsettle();
    }
    keeper.heardAt = now;
    keeper.near = near;
    const news = new Map<CustomerId, number>();
    for (const total of totals) {
      const before = keeper.totals.get(total.customer)?.sum;
      keeper.totals.set(total.customer, total);
      if (before !== undefined || !begins) {
        news.set(total.customer, total.sum - (before ?? 0));
      }
    }
    this.#accounts.charge(news, now);
    totals.forEach((total) => this.#accounts.settle(total, now));
  }

  #report(now: Instant, period: number): void {
    const keeper = this.#keeper;
    if (keeper === undefined || now - this.#reportedAt < period) {
      return;
    }
    const whole = keeper.heardAt === undefined ||
      now - this.#wholeAt >= WHOLE_PERIOD_MS;
    this.#sources.send(keeper.incarnation, this.#nextReport(now, whole));
  }

  #nextReport(now: Instant, whole: boolean): SpendingReport {
    const customers = whole ? this.#spent.keys() : this.#changed;
    const spent = [...customers].map((customer) => ({
      customer,
      sum: Math.round(this.#spent.get(customer)!),
    }));
    const first = !this.#told;
    this.#told = this.#told || this.#keeps || this.#hears(now);
    this.#changed.clear();
    this.#reportedAt = now;
    this.#wholeAt = whole ? now : this.#wholeAt;
    const { incarnation } = this.#sources.self;
    return { kind: "report", incarnation, first, spent };
  }

  /** A keeper tells the entries that let something in, and the keepers of other regions. */
  #tellTotalsIfDue(now: Instant): void {
    if (now - this.#totalsAt < this.#period) {
      return;
    }
    this.#totalsAt = now;
    this.#keeping.tick(now);
    this.#keeper!.near = this.#accounts.isNear();
    const since = now - ACTIVE_MS as Instant;
    for (const entry of this.#keeping.tellersSince(since)) {
      if (entry !== this.#sources.self.incarnation) {
        this.#sendTotals(entry, now);
      }
    }
    this.#tellKeepers(now);
  }

  #tellKeepers(now: Instant): void {
    const { self, regions, keeperOf, send } = this.#sources;
    for (const region of regions) {
      const keeper = region === self.region ? undefined : keeperOf(region, now);
      if (keeper !== undefined) {
        send(
          keeper,
          this.#totals((id) => this.#keeping.sumOfRegion(id), now),
        );
      }
    }
  }

  #sendTotals(entry: Incarnation, now: Instant): void {
    this.#sources.send(
      entry,
      this.#totals((id) => this.#keeping.sumForEntry(id, entry), now),
    );
  }

  #totals(
    sumOf: (customer: CustomerId) => number,
    now: Instant,
  ): SpendingTotals {
    const { incarnation, region } = this.#sources.self;
    const totals = [...this.#keeping.customers()].map((customer) => ({
      customer,
      sum: Math.round(sumOf(customer)),
      level: Math.round(this.#accounts.levelOf(customer, now)),
      part: this.#keeping.heardPart(customer, now),
    }));
    const near = this.#keeper!.near;
    return { kind: "totals", incarnation, region, near, totals };
  }
}
