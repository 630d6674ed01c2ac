/**
 * Enforces customers' limits across all entries without shared storage.
 *
 * Each entry keeps its own copy of each customer's token bucket and deducts what it admits. One entry per region, the
 * aggregator, adds up what the entries of its region admit, sends each of them the usage of the others, and
 * exchanges sums with the aggregators of other regions. While all are connected, a customer may use its whole
 * limit at any entry; the limit is not divided, since a share could be smaller than a single request. Of a limit in
 * requests, what exceeds an entry's part of the units left is claimed at the aggregator first, because a burst that
 * reaches all entries at once would otherwise be admitted by each of them. Entries that lose contact with the others are
 * restricted to the share that they used before, so that the shares of both sides of a network partition add up
 * to the whole limit.
 *
 * @module
 */
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { Customer, CustomerLimit } from "./customer.ts";
import type { CustomerLimitSources } from "./customer_limit_sources.ts";
import { type LimitAccount, LimitAccounts } from "./limit_accounts.ts";
import { LimitClaims } from "./limit_claims.ts";
import type { LimitBucket } from "./limit_bucket.ts";
import { OwnSpending } from "./own_spending.ts";
import { IDLE_TIMEOUT_MS, RegionAggregation } from "./region_aggregation.ts";
import { SILENCE_TIMEOUT_MS } from "./spending_aggregator.ts";
import type {
  CustomerTotal,
  SpendingAnswer,
  SpendingMessage,
  SpendingReport,
  SpendingTotals,
} from "./spending_messages.ts";

/** Time between two messages: shorter while any customer is near its limit, longer otherwise. */
const NEAR_LIMIT_PERIOD_MS = 100;
const DEFAULT_PERIOD_MS = 200;
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

/** What this entry has received from the aggregator of its region. */
interface AggregatorState {
  readonly incarnation: Incarnation;
  /** Whether this entry has reported to it, so that it knows that the entry follows it. */
  notified: boolean;
  /** The latest total of each customer. */
  readonly totals: Map<CustomerId, CustomerTotal>;
  lastTotalsAt: Instant | undefined;
  near: boolean;
}

/** Checks requests against customers' limits, and aggregates the region's usage while this entry is its aggregator. */
export class CustomerLimits {
  readonly #sources: CustomerLimitSources;
  readonly #accounts: LimitAccounts;
  readonly #spending: OwnSpending;
  readonly #claims = new LimitClaims();
  readonly #aggregation: RegionAggregation;
  #aggregator: AggregatorState | undefined;
  #lastRequestAt = -Infinity;

  constructor(sources: CustomerLimitSources) {
    this.#sources = sources;
    this.#spending = new OwnSpending(sources.self.incarnation);
    this.#accounts = new LimitAccounts({
      possibleEntries: sources.possibleEntries,
      // An aggregator keeps an account for each reported customer, other entries only for those they serve.
      limitOf: (id) => this.#isAggregator ? sources.limitOf(id) : undefined,
      hasCurrentTotals: (now) => this.#hasCurrentTotals(now),
      aggregatedShare: (id, now) =>
        this.#isAggregator
          ? this.#aggregation.reachableShare(id, now)
          : undefined,
      lastTotal: (id) => this.#aggregator?.totals.get(id),
    });
    this.#aggregation = new RegionAggregation(sources, this.#accounts);
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
    const taken = this.#claimsUnits(limit, now)
      ? this.#takeWithClaim(account, { cost, hurried }, now)
      : this.#takeUnclaimed(account, cost, now);
    if (taken === "unheard") {
      return { kind: "unheard" };
    }
    return taken ? { kind: "admitted" } : {
      kind: "over",
      wait: this.#retryDelay(account.bucket, { cost, share }, now),
    };
  }

  /** Refunds the cost of an admitted request that did not run. */
  refund(customer: CustomerId, cost: number, now: Instant): void {
    this.#accounts.find(customer)?.bucket.charge(-cost);
    this.#recordSpending(customer, -cost, now);
  }

  /** Handles a message from another entry. */
  receive(message: SpendingMessage, now: Instant): void {
    this.#updateAggregator(now);
    if (message.kind === "report" || message.kind === "claim") {
      if (this.#isAggregator) {
        this.#aggregation.receiveReport(message, now);
      }
      this.tick(now);
    } else if (message.kind === "answer") {
      this.#receiveAnswer(message, now);
    } else if (message.region === this.#sources.self.region) {
      this.#receiveOwnTotals(message, now);
    } else if (this.#isAggregator) {
      this.#aggregation.receiveTotals(message, now);
    }
  }

  /** Sends the messages that are due. */
  tick(now: Instant): void {
    if (!this.#sources.hasLimits()) {
      return;
    }
    this.#updateAggregator(now);
    this.sendClaim(now);
    if (this.#isAggregator) {
      this.#aggregation.sendTotalsIfDue(now, this.#period);
    } else if (
      now - this.#lastRequestAt <= IDLE_TIMEOUT_MS ||
      this.#aggregator?.notified === false
    ) {
      this.#reportIfDue(now, this.#period);
    }
  }

  /**
   * Claims the units for which requests wait, all in one message. Called at the end of a turn, after the requests
   * that waited for the last answer were checked again.
   */
  sendClaim(now: Instant): void {
    if (!this.#claims.isActive) {
      return;
    }
    this.#claims.settle(now).forEach((id) => this.#spending.reportAgain(id));
    const claim = this.#claims.open(now);
    const aggregator = this.#aggregator;
    if (claim === undefined || aggregator === undefined) {
      return;
    }
    const { number, units: claimed } = claim;
    const customers = claimed.map(({ customer }) => customer);
    this.#sources.send(aggregator.incarnation, {
      ...this.#spending.reportOf(customers),
      kind: "claim",
      number,
      claimed,
    });
  }

  get #isAggregator(): boolean {
    return this.#aggregator?.incarnation === this.#sources.self.incarnation;
  }

  get #period(): number {
    const near = this.#aggregator?.near === true ||
      this.#isAggregator && this.#aggregation.isNearLimit ||
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
        notified: false,
        totals: new Map(),
        lastTotalsAt: undefined,
        near: false,
      };
      this.#spending.restart();
      this.#claims.abandon();
      if (this.#isAggregator) {
        this.#aggregation.begin(now);
      }
    }
  }

  /**
   * Whether units are claimed. A limit in tokens holds few requests, so that most would wait for a round trip, which
   * takes longest while entries are busy.
   */
  #claimsUnits({ unit }: CustomerLimit, now: Instant): boolean {
    return unit === "requests" && !this.#isAggregator &&
      this.#hasCurrentTotals(now);
  }

  #takeUnclaimed(account: LimitAccount, cost: number, now: Instant): boolean {
    const taken = account.bucket.take(cost);
    if (taken) {
      this.#recordSpending(account.id, cost, now);
    }
    return taken;
  }

  /** Admits a request out of granted units or of this entry's part; otherwise it waits for a claim. */
  #takeWithClaim(
    account: LimitAccount,
    { cost, hurried }: { cost: number; hurried: boolean },
    now: Instant,
  ): boolean | "unheard" {
    const { id, bucket } = account;
    if (bucket.level <= 0) {
      return false;
    }
    if (this.#claims.use(id, cost)) {
      return this.#takeUnclaimed(account, cost, now);
    }
    // Without an answer, one request is admitted until the next totals. It may be larger than any part.
    const isFirst = account.unconfirmed === 0 &&
      (hurried || this.#claims.isSlow(now));
    if (isFirst || this.#accounts.fitsUnconfirmed(account, cost)) {
      account.unconfirmed += cost;
      return this.#takeUnclaimed(account, cost, now);
    }
    if (hurried) {
      return false;
    }
    this.#claims.want(id, cost);
    return "unheard";
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
    this.#spending.add(customer, cost);
    this.#accounts.find(customer)?.ownUsage.add(cost, now);
    if (this.#isAggregator) {
      this.#aggregation.countOwn(this.#createReport(now, false), now);
    }
  }

  /** Handles the answer to a claim, after which the waiting requests are checked again. */
  #receiveAnswer(answer: SpendingAnswer, now: Instant): void {
    const { incarnation, number, granted, totals } = answer;
    // After a silence the totals of all customers are needed first.
    const isUsable = this.#hasCurrentTotals(now) &&
      incarnation === this.#aggregator?.incarnation;
    if (!isUsable || !this.#claims.grant(number, granted)) {
      return;
    }
    this.#receiveOwnTotals({ ...answer, kind: "totals" }, now);
    for (const total of totals) {
      const grant = granted.find(({ customer }) => customer === total.customer);
      this.#accounts.applyAnswer(total, grant?.units ?? 0, now);
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
    // A report that crosses the answer to a claim would return the granted units before they are used.
    if (
      aggregator !== undefined && !this.#claims.isOpen &&
      this.#spending.isReportDue(now, period)
    ) {
      const full = aggregator.lastTotalsAt === undefined ||
        this.#spending.isFullReportDue(now);
      this.#sources.send(aggregator.incarnation, this.#createReport(now, full));
    }
  }

  #createReport(now: Instant, full: boolean): SpendingReport {
    if (this.#aggregator !== undefined) {
      this.#aggregator.notified = true;
    }
    const counted = this.#isAggregator || this.#hasCurrentTotals(now);
    return this.#spending.createReport({ full, counted }, now);
  }
}
