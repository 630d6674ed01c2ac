/**
 * Enforces customers' limits across all entries without shared storage.
 *
 * Each entry keeps its own copy of each customer's token bucket and deducts what it admits. One entry per region, the
 * aggregator, adds up what the entries of its region admit, sends each of them the usage of the others, and
 * exchanges sums with the aggregators of other regions. While all are connected, a customer may use its whole
 * limit at any entry; the limit is not divided, since a share could be smaller than a single request. Entries that
 * lose contact with the others are restricted to the share that they used before, so that the shares of both
 * sides of a network partition add up to the whole limit.
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
import {
  SILENCE_TIMEOUT_MS,
  SpendingAggregator,
} from "./spending_aggregator.ts";
import type {
  CustomerTotal,
  SpendingMessage,
  SpendingReport,
  SpendingTotals,
} from "./spending_messages.ts";

/** Time between two messages: shorter while any customer is near its limit, longer otherwise. */
const NEAR_LIMIT_PERIOD_MS = 100;
const DEFAULT_PERIOD_MS = 200;
/** An entry reports all sums again this often, not only changed ones, which makes up for lost datagrams. */
const FULL_REPORT_PERIOD_MS = 2_000;
/** An entry without requests for this long sends no reports, and one without reports is sent no totals. */
const IDLE_TIMEOUT_MS = 2_000;
/** Retry delays are extended by up to this fraction at random, so that refused requests do not return together. */
const RETRY_JITTER = 0.25;

/** Longest retry delay given to a refused request, kept short because the limit may change meanwhile. */
const MAX_RETRY_DELAY_MS = 5_000;

/** Result of checking a request against its customer's limit. */
export type LimitVerdict =
  | { readonly kind: "admitted" }
  /** The limit is exceeded; the request may be retried after `wait`. */
  | { readonly kind: "over"; readonly wait: Milliseconds }
  /** The usage at other entries is not known yet, but will be shortly. */
  | { readonly kind: "unheard" };

/** Dependencies of the limits. */
export interface CustomerLimitSources {
  readonly self: {
    readonly incarnation: Incarnation;
    readonly region: RegionId;
  };
  readonly regions: readonly RegionId[];
  readonly random: Randomness;
  /**
   * Returns the aggregator of a region, `undefined` if none is known. Also `undefined` for the own region while
   * this entry is disconnected from most of its entries: otherwise each disconnected entry would consider itself
   * the aggregator.
   */
  readonly aggregatorOf: (region: RegionId, now: Instant) =>
    | Incarnation
    | undefined;
  /** Whether any customer has a limit. */
  readonly hasLimits: () => boolean;
  /** A customer's limit according to the document in force. */
  readonly limitOf: (customer: CustomerId) => CustomerLimit | undefined;
  /** Number of entries that may be alive, including this one. */
  readonly possibleEntries: () => number;
  readonly send: (to: Incarnation, message: SpendingMessage) => void;
}

/** What this entry has received from the aggregator of its region. */
interface AggregatorState {
  readonly incarnation: Incarnation;
  /** The latest total of each customer. */
  readonly totals: Map<CustomerId, CustomerTotal>;
  lastTotalsAt: Instant | undefined;
  near: boolean;
}

/** Checks requests against customers' limits, and aggregates the region's usage while this entry is its aggregator. */
export class CustomerLimits {
  readonly #sources: CustomerLimitSources;
  readonly #accounts: LimitAccounts;
  /** Units admitted since this process started. */
  readonly #spent = new Map<CustomerId, number>();
  readonly #unreported = new Set<CustomerId>();
  readonly #spendingAggregator: SpendingAggregator;
  #aggregator: AggregatorState | undefined;
  /** When this entry last created a report of its own sums. */
  #reportedAt = -Infinity;
  /** When this entry last sent totals as the aggregator. */
  #totalsSentAt = -Infinity;
  #fullReportAt = -Infinity;
  #lastRequestAt = -Infinity;
  #hasReported = false;

  constructor(sources: CustomerLimitSources) {
    this.#sources = sources;
    this.#spendingAggregator = new SpendingAggregator(
      sources.self.region,
      sources.regions,
    );
    this.#accounts = new LimitAccounts({
      possibleEntries: sources.possibleEntries,
      // An aggregator keeps an account for each reported customer, other entries only for those they serve.
      limitOf: (id) => this.#isAggregator ? sources.limitOf(id) : undefined,
      hasCurrentTotals: (now) => this.#hasCurrentTotals(now),
      aggregatedShare: (id, now) =>
        this.#isAggregator
          ? this.#spendingAggregator.reachableShare(id, now)
          : undefined,
      lastTotal: (id) => this.#aggregator?.totals.get(id),
    });
  }

  /** Admits a request, or returns why not. With `hurried`, decides without waiting for usage from other entries. */
  take(
    { id, limit }: Pick<Customer, "id" | "limit">,
    { cost, hurried }: { cost: number; hurried: boolean },
    now: Instant,
  ): LimitVerdict {
    if (limit === undefined) {
      return { kind: "admitted" };
    }
    this.#lastRequestAt = now;
    this.#updateAggregator(now);
    const account = this.#accounts.getOrCreate({ id, limit }, now);
    if (!this.#hasCurrentTotals(now) && !hurried) {
      this.#reportIfDue(now, NEAR_LIMIT_PERIOD_MS);
      return { kind: "unheard" };
    }
    const share = this.#accounts.refill(account, now);
    if (!account.bucket.take(cost)) {
      return {
        kind: "over",
        wait: this.#retryDelay(account.bucket, { cost, share }, now),
      };
    }
    this.#recordSpending(id, cost, now);
    return { kind: "admitted" };
  }

  /** Refunds the cost of an admitted request that did not run. */
  refund(customer: CustomerId, cost: number, now: Instant): void {
    this.#accounts.find(customer)?.bucket.charge(-cost);
    this.#recordSpending(customer, -cost, now);
  }

  /** Handles a message from another entry. */
  receive(message: SpendingMessage, now: Instant): void {
    this.#updateAggregator(now);
    if (message.kind === "report") {
      this.#receiveReport(message, now);
      this.tick(now);
    } else if (message.region === this.#sources.self.region) {
      this.#receiveOwnTotals(message, now);
    } else if (this.#isAggregator) {
      this.#accounts.charge(
        this.#spendingAggregator.applyTotals(message, now),
        now,
      );
      message.totals.forEach((total) => this.#accounts.applyTotal(total, now));
    }
  }

  /** Sends the messages that are due. */
  tick(now: Instant): void {
    if (!this.#sources.hasLimits()) {
      return;
    }
    this.#updateAggregator(now);
    if (this.#isAggregator) {
      this.#sendTotalsIfDue(now);
    } else if (now - this.#lastRequestAt <= IDLE_TIMEOUT_MS) {
      this.#reportIfDue(now, this.#period);
    }
  }

  get #isAggregator(): boolean {
    return this.#aggregator?.incarnation === this.#sources.self.incarnation;
  }

  get #period(): number {
    const near = this.#aggregator?.near === true ||
      this.#accounts.isAnyNearLimit();
    return near ? NEAR_LIMIT_PERIOD_MS : DEFAULT_PERIOD_MS;
  }

  /** Whether the usage at other entries is known. */
  #hasCurrentTotals(now: Instant): boolean {
    const lastTotalsAt = this.#aggregator?.lastTotalsAt;
    return this.#isAggregator ||
      lastTotalsAt !== undefined && now - lastTotalsAt <= SILENCE_TIMEOUT_MS;
  }

  /** Determines the current aggregator of the region. */
  #updateAggregator(now: Instant): void {
    const { aggregatorOf, self } = this.#sources;
    const incarnation = aggregatorOf(self.region, now);
    if (incarnation !== this.#aggregator?.incarnation) {
      this.#aggregator = incarnation === undefined ? undefined : {
        incarnation,
        totals: new Map(),
        lastTotalsAt: undefined,
        near: false,
      };
      this.#fullReportAt = -Infinity;
      this.#reportedAt = -Infinity;
    }
  }

  #retryDelay(
    bucket: LimitBucket,
    { cost, share }: { cost: number; share: number },
    now: Instant,
  ): Milliseconds {
    const wait = bucket.waitFor(cost, Math.max(share, Number.EPSILON), now);
    const jitter = 1 + RETRY_JITTER * this.#sources.random.next();
    return milliseconds(Math.min(wait * jitter, MAX_RETRY_DELAY_MS));
  }

  #recordSpending(customer: CustomerId, cost: number, now: Instant): void {
    this.#spent.set(customer, (this.#spent.get(customer) ?? 0) + cost);
    this.#unreported.add(customer);
    this.#accounts.find(customer)?.ownUsage.add(cost, now);
    if (this.#isAggregator) {
      this.#recordOwnReport(now);
    }
  }

  /** Applies this entry's own report, since the aggregator counts itself among its region's entries. */
  #recordOwnReport(now: Instant): void {
    this.#spendingAggregator.applyReport(this.#createReport(now, false), now);
  }

  #receiveReport(report: SpendingReport, now: Instant): void {
    if (!this.#isAggregator) {
      return;
    }
    const since = now - SILENCE_TIMEOUT_MS as Instant;
    const hasReportedRecently = this.#spendingAggregator.hasReportSince(
      report.incarnation,
      since,
    );
    this.#accounts.charge(
      this.#spendingAggregator.applyReport(report, now),
      now,
    );
    if (!hasReportedRecently) {
      this.#sendTotals(report.incarnation, now);
    }
  }

  #receiveOwnTotals(
    { incarnation, near, totals }: SpendingTotals,
    now: Instant,
  ): void {
    const aggregator = this.#aggregator;
    if (aggregator === undefined || aggregator.incarnation !== incarnation) {
      return;
    }
    const isResuming = !this.#hasCurrentTotals(now);
    if (isResuming) {
      this.#accounts.resetAdoptedLevels();
    }
    aggregator.lastTotalsAt = now;
    aggregator.near = near;
    const increases = new Map<CustomerId, number>();
    for (const total of totals) {
      const previousSum = aggregator.totals.get(total.customer)?.sum;
      aggregator.totals.set(total.customer, total);
      if (previousSum !== undefined || !isResuming) {
        increases.set(total.customer, total.sum - (previousSum ?? 0));
      }
    }
    this.#accounts.charge(increases, now);
    totals.forEach((total) => this.#accounts.applyTotal(total, now));
  }

  #reportIfDue(now: Instant, period: number): void {
    const aggregator = this.#aggregator;
    if (aggregator === undefined || now - this.#reportedAt < period) {
      return;
    }
    const isFull = aggregator.lastTotalsAt === undefined ||
      now - this.#fullReportAt >= FULL_REPORT_PERIOD_MS;
    this.#sources.send(aggregator.incarnation, this.#createReport(now, isFull));
  }

  #createReport(now: Instant, isFull: boolean): SpendingReport {
    const customers = isFull ? this.#spent.keys() : this.#unreported;
    const spent = [...customers].map((customer) => ({
      customer,
      sum: Math.round(this.#spent.get(customer)!),
    }));
    const first = !this.#hasReported;
    this.#hasReported = this.#hasReported || this.#isAggregator ||
      this.#hasCurrentTotals(now);
    this.#unreported.clear();
    this.#reportedAt = now;
    this.#fullReportAt = isFull ? now : this.#fullReportAt;
    const { incarnation } = this.#sources.self;
    return { kind: "report", incarnation, first, spent };
  }

  /** Sends totals to the recently active entries of the region and to the aggregators of other regions. */
  #sendTotalsIfDue(now: Instant): void {
    if (now - this.#totalsSentAt < this.#period) {
      return;
    }
    this.#totalsSentAt = now;
    this.#spendingAggregator.tick(now);
    this.#aggregator!.near = this.#accounts.isAnyNearLimit();
    const since = now - IDLE_TIMEOUT_MS as Instant;
    for (const entry of this.#spendingAggregator.reportersSince(since)) {
      if (entry !== this.#sources.self.incarnation) {
        this.#sendTotals(entry, now);
      }
    }
    this.#sendTotalsToOtherRegions(now);
  }

  #sendTotalsToOtherRegions(now: Instant): void {
    const { self, regions, aggregatorOf, send } = this.#sources;
    for (const region of regions) {
      const aggregator = region === self.region
        ? undefined
        : aggregatorOf(region, now);
      if (aggregator !== undefined) {
        send(
          aggregator,
          this.#createTotals(
            (id) => this.#spendingAggregator.sumForRegion(id),
            now,
          ),
        );
      }
    }
  }

  #sendTotals(entry: Incarnation, now: Instant): void {
    this.#sources.send(
      entry,
      this.#createTotals(
        (id) => this.#spendingAggregator.sumForEntry(id, entry),
        now,
      ),
    );
  }

  #createTotals(
    sumOf: (customer: CustomerId) => number,
    now: Instant,
  ): SpendingTotals {
    const { incarnation, region } = this.#sources.self;
    const totals = [...this.#spendingAggregator.customers()].map((
      customer,
    ) => ({
      customer,
      sum: Math.round(sumOf(customer)),
      level: Math.round(this.#accounts.levelOf(customer, now)),
      part: this.#spendingAggregator.reachableShare(customer, now),
    }));
    const near = this.#aggregator!.near;
    return { kind: "totals", incarnation, region, near, totals };
  }
}
