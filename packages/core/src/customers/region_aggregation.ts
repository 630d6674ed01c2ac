/**
 * What an entry does while it is the aggregator of its region: it counts reports, grants claims and sends totals.
 *
 * @module
 */
import type { CustomerId, Incarnation, Instant } from "../ids/index.ts";
import type { CustomerLimitSources } from "./customer_limit_sources.ts";
import type { LimitAccounts } from "./limit_accounts.ts";
import {
  SILENCE_TIMEOUT_MS,
  SpendingAggregator,
} from "./spending_aggregator.ts";
import type {
  SpendingClaim,
  SpendingReport,
  SpendingTotals,
} from "./spending_messages.ts";

/** An entry without reports for this long is sent no totals. */
export const IDLE_TIMEOUT_MS = 2_000;
/**
 * Time after which a new aggregator uses the whole limit although some entries of its region have not reported to it.
 * Until then another entry may still count itself, or a former aggregator, as the region's aggregator.
 */
const TAKEOVER_TIMEOUT_MS = 2_000;

/** Aggregates the usage of a region. */
export class RegionAggregation {
  readonly #sources: CustomerLimitSources;
  readonly #accounts: LimitAccounts;
  readonly #aggregator: SpendingAggregator;
  /** When this entry became the aggregator. */
  #since = -Infinity;
  #totalsSentAt = -Infinity;
  #isNearLimit = false;

  constructor(sources: CustomerLimitSources, accounts: LimitAccounts) {
    this.#sources = sources;
    this.#accounts = accounts;
    this.#aggregator = new SpendingAggregator(
      sources.self.region,
      sources.regions,
    );
  }

  /** Records that this entry becomes the aggregator. */
  begin(now: Instant): void {
    this.#since = now;
    this.#isNearLimit = false;
  }

  /** Whether any customer was near its limit when totals were last sent. */
  get isNearLimit(): boolean {
    return this.#isNearLimit;
  }

  /** Share of a limit that this aggregator may give to the entries that follow it, including itself. */
  reachableShare(id: CustomerId, now: Instant): number {
    return this.#aggregator.reachableShare(id, now) *
      this.#followingShare(now);
  }

  /** Counts this entry's own report, since the aggregator is one of its region's entries. */
  countOwn(report: SpendingReport, now: Instant): void {
    this.#aggregator.applyReport(report, now);
  }

  /** Counts another entry's report, and answers it if it claims units or is the first after a while. */
  receiveReport(report: SpendingReport | SpendingClaim, now: Instant): void {
    const since = now - SILENCE_TIMEOUT_MS as Instant;
    const hasReportedRecently = this.#aggregator.hasReportSince(
      report.incarnation,
      since,
    );
    this.#accounts.charge(this.#aggregator.applyReport(report, now), now);
    if (!hasReportedRecently) {
      this.#sendTotals(report.incarnation, now);
    }
    if (report.kind === "claim") {
      this.#answerClaim(report, now);
    }
  }

  /** Counts the totals of another region's aggregator. */
  receiveTotals(message: SpendingTotals, now: Instant): void {
    this.#accounts.charge(this.#aggregator.applyTotals(message, now), now);
    message.totals.forEach((total) => this.#accounts.applyTotal(total, now));
  }

  /** Sends totals to the recently active entries of the region and to the aggregators of other regions. */
  sendTotalsIfDue(now: Instant, period: number): void {
    if (now - this.#totalsSentAt < period) {
      return;
    }
    this.#totalsSentAt = now;
    this.#aggregator.tick(now);
    this.#isNearLimit = this.#accounts.isAnyNearLimit();
    const since = now - IDLE_TIMEOUT_MS as Instant;
    for (const entry of this.#aggregator.reportersSince(since)) {
      if (entry !== this.#sources.self.incarnation) {
        this.#sendTotals(entry, now);
      }
    }
    this.#sendTotalsToOtherRegions(now);
  }

  /** Share of the region's entries that count this entry as their aggregator, 1 once that no longer matters. */
  #followingShare(now: Instant): number {
    if (now - this.#since >= TAKEOVER_TIMEOUT_MS) {
      return 1;
    }
    const { self, possiblePeers } = this.#sources;
    const followers = this.#aggregator.reportersSince(this.#since as Instant)
      .filter((incarnation) => incarnation !== self.incarnation);
    return Math.min(1, (1 + followers.length) / (1 + possiblePeers()));
  }

  #answerClaim(
    { incarnation, number, claimed }: SpendingClaim,
    now: Instant,
  ): void {
    const granted = claimed.map(({ customer, units }) => ({
      customer,
      units: Math.min(units, this.#grantableUnits(customer, now)),
    }));
    this.#accounts.charge(
      this.#aggregator.applyGrants(incarnation, granted, now),
      now,
    );
    const customers = claimed.map(({ customer }) => customer);
    this.#sources.send(incarnation, {
      ...this.#createTotals(
        customers,
        (id) => this.#aggregator.sumForEntry(id, incarnation),
        now,
      ),
      kind: "answer",
      number,
      granted,
    });
  }

  #grantableUnits(id: CustomerId, now: Instant): number {
    const limit = this.#sources.limitOf(id);
    if (limit === undefined) {
      return 0;
    }
    const account = this.#accounts.getOrCreate({ id, limit }, now);
    this.#accounts.refill(account, now);
    return Math.max(0, account.bucket.level);
  }

  #sendTotalsToOtherRegions(now: Instant): void {
    const { self, regions, aggregatorOf, send } = this.#sources;
    for (const region of regions) {
      const aggregator = region === self.region
        ? undefined
        : aggregatorOf(region, now);
      if (aggregator !== undefined) {
        const sumOf = (id: CustomerId): number =>
          this.#aggregator.sumForRegion(id);
        const customers = this.#aggregator.customers();
        send(aggregator, this.#createTotals(customers, sumOf, now));
      }
    }
  }

  #sendTotals(entry: Incarnation, now: Instant): void {
    const sumOf = (id: CustomerId): number =>
      this.#aggregator.sumForEntry(id, entry);
    const customers = this.#aggregator.customers();
    this.#sources.send(entry, this.#createTotals(customers, sumOf, now));
  }

  #createTotals(
    customers: Iterable<CustomerId>,
    sumOf: (customer: CustomerId) => number,
    now: Instant,
  ): SpendingTotals {
    const { incarnation, region } = this.#sources.self;
    const totals = [...customers].map((customer) => ({
      customer,
      sum: Math.round(sumOf(customer)),
      level: Math.round(this.#accounts.levelOf(customer, now)),
      part: this.reachableShare(customer, now),
    }));
    const near = this.#isNearLimit;
    return { kind: "totals", incarnation, region, near, totals };
  }
}
