/**
 * Adds up the usage that the entries of a region admit. One entry per region, its aggregator, does so at a time.
 *
 * Only increases received while this entry is the aggregator are counted. Otherwise a new aggregator, or an entry
 * that just switched to it, would count all usage since a process started as if it had happened just now.
 *
 * @module
 */
import type {
  CustomerId,
  Incarnation,
  Instant,
  RegionId,
} from "../ids/index.ts";
import { DecayingSum } from "./decaying_sum.ts";
import type { SpendingReport, SpendingTotals } from "./spending_messages.ts";

/** Decay of the usage that determines each region's share. Long enough that all regions know most of that usage. */
const SHARE_TIME_CONSTANT_MS = 8_000;
/** A region that is silent for longer counts as disconnected and keeps its share of each limit. */
export const SILENCE_TIMEOUT_MS = 600;
/** An entry that is silent for longer is removed; its usage stays counted. */
const ENTRY_EXPIRY_MS = 60_000;

/** Sums received from one entry, or from another region's aggregator. */
interface ReporterSums {
  /** Latest sums as received. */
  readonly reported: Map<CustomerId, number>;
  /** Increases counted since this aggregator receives reports. */
  readonly counted: Map<CustomerId, number>;
  lastReportAt: Instant;
}

/** Sums of the own region's entries, and those reported by the aggregators of other regions. */
export class SpendingAggregator {
  readonly #region: RegionId;
  readonly #regions: readonly RegionId[];
  readonly #entries = new Map<Incarnation, ReporterSums>();
  /** Counted usage of entries that were removed. */
  readonly #expiredSums = new Map<CustomerId, number>();
  readonly #otherRegions = new Map<
    RegionId,
    ReporterSums & { aggregator: Incarnation }
  >();
  /** Share of each region by customer, when all regions were last connected. */
  readonly #lastAgreedShares = new Map<
    CustomerId,
    ReadonlyMap<RegionId, number>
  >();
  /** Recent usage of each region by customer. */
  readonly #usage = new Map<CustomerId, Map<RegionId, DecayingSum>>();

  constructor(region: RegionId, regions: readonly RegionId[]) {
    this.#region = region;
    this.#regions = regions;
  }

  /** Entries of the region that sent a report since an instant. */
  reportersSince(since: Instant): Incarnation[] {
    return [...this.#entries].filter(([, { lastReportAt }]) =>
      lastReportAt >= since
    )
      .map(([incarnation]) => incarnation);
  }

  /** Whether an entry sent a report since an instant. */
  hasReportSince(entry: Incarnation, since: Instant): boolean {
    return (this.#entries.get(entry)?.lastReportAt ?? -Infinity) >= since;
  }

  /** Applies an entry's report. Returns the increases by customer. */
  applyReport(
    { incarnation, first, spent }: SpendingReport,
    now: Instant,
  ): Map<CustomerId, number> {
    const known = this.#entries.get(incarnation);
    const reporter = known ?? newReporterSums(now);
    this.#entries.set(incarnation, reporter);
    reporter.lastReportAt = now;
    const counts = known !== undefined || first;
    return this.#add(reporter, spent, { counts, region: this.#region, now });
  }

  /** Applies the sums that another region's aggregator sent. Returns the increases by customer. */
  applyTotals(
    { incarnation, region, totals }: SpendingTotals,
    now: Instant,
  ): Map<CustomerId, number> {
    const previous = this.#otherRegions.get(region);
    // Usage during an interruption came out of that region's own share and is not counted here.
    const isContinuous = previous?.aggregator === incarnation &&
      now - previous.lastReportAt <= SILENCE_TIMEOUT_MS;
    const reporter = isContinuous ? previous : {
      ...newReporterSums(now),
      counted: previous?.counted ?? new Map(),
      aggregator: incarnation,
    };
    this.#otherRegions.set(region, reporter);
    reporter.lastReportAt = now;
    return this.#add(reporter, totals, { counts: isContinuous, region, now });
  }

  /** A customer's usage at all other entries of the region and in other regions, as sent to one entry. */
  sumForEntry(customer: CustomerId, entry: Incarnation): number {
    let sum = this.#expiredSums.get(customer) ?? 0;
    for (const [incarnation, { counted }] of this.#entries) {
      sum += incarnation === entry ? 0 : counted.get(customer) ?? 0;
    }
    for (const { counted } of this.#otherRegions.values()) {
      sum += counted.get(customer) ?? 0;
    }
    return sum;
  }

  /** A customer's usage in the own region. */
  sumForRegion(customer: CustomerId): number {
    let sum = this.#expiredSums.get(customer) ?? 0;
    for (const { counted } of this.#entries.values()) {
      sum += counted.get(customer) ?? 0;
    }
    return sum;
  }

  /** Customers with counted usage. */
  customers(): Iterable<CustomerId> {
    return this.#usage.keys();
  }

  /** Units per second that a customer recently used in all regions. */
  recentRatePerSecond(customer: CustomerId, now: Instant): number {
    let sum = 0;
    for (const usage of this.#usage.get(customer)?.values() ?? []) {
      sum += usage.valueAt(now);
    }
    return sum * 1_000 / SHARE_TIME_CONSTANT_MS;
  }

  /**
   * Share of a limit that the connected regions may use together. In a network partition each side would
   * otherwise admit the whole limit, so each side keeps the share that it used while all were connected.
   */
  reachableShare(customer: CustomerId, now: Instant): number {
    const reachable = this.#regions.filter((region) =>
      this.#isReachable(region, now)
    );
    if (reachable.length === this.#regions.length) {
      this.#lastAgreedShares.set(customer, this.#usageShares(customer, now));
      return 1;
    }
    const agreedShares = this.#lastAgreedShares.get(customer);
    const equalShare = 1 / this.#regions.length;
    return reachable.reduce(
      (sum, region) => sum + (agreedShares?.get(region) ?? equalShare),
      0,
    );
  }

  /** Each region's share of recent usage; equal shares if there was none. */
  #usageShares(
    customer: CustomerId,
    now: Instant,
  ): ReadonlyMap<RegionId, number> {
    const usage = this.#usage.get(customer);
    const usageIn = (region: RegionId): number =>
      usage?.get(region)?.valueAt(now) ?? 0;
    const total = this.#regions.reduce(
      (sum, region) => sum + usageIn(region),
      0,
    );
    return new Map(
      this.#regions.map((region) => [
        region,
        total > 0 ? usageIn(region) / total : 1 / this.#regions.length,
      ]),
    );
  }

  /** Removes entries that have not reported for a long time. */
  tick(now: Instant): void {
    for (const [incarnation, { lastReportAt, counted }] of this.#entries) {
      if (now - lastReportAt > ENTRY_EXPIRY_MS) {
        this.#entries.delete(incarnation);
        counted.forEach((sum, customer) =>
          this.#expiredSums.set(
            customer,
            (this.#expiredSums.get(customer) ?? 0) + sum,
          )
        );
      }
    }
  }

  #isReachable(region: RegionId, now: Instant): boolean {
    const lastReportAt = this.#otherRegions.get(region)?.lastReportAt;
    return region === this.#region ||
      lastReportAt !== undefined && now - lastReportAt <= SILENCE_TIMEOUT_MS;
  }

  #add(
    { reported, counted }: ReporterSums,
    sums: readonly { readonly customer: CustomerId; readonly sum: number }[],
    { counts, region, now }: {
      counts: boolean;
      region: RegionId;
      now: Instant;
    },
  ): Map<CustomerId, number> {
    const increases = new Map<CustomerId, number>();
    for (const { customer, sum } of sums) {
      const previous = reported.get(customer) ?? 0;
      reported.set(customer, sum);
      if (counts && sum !== previous) {
        counted.set(customer, (counted.get(customer) ?? 0) + sum - previous);
        increases.set(customer, sum - previous);
        this.#usageOf(customer, region).add(sum - previous, now);
      }
    }
    return increases;
  }

  #usageOf(customer: CustomerId, region: RegionId): DecayingSum {
    const regions = this.#usage.get(customer) ??
      new Map<RegionId, DecayingSum>();
    this.#usage.set(customer, regions);
    const usage = regions.get(region) ??
      new DecayingSum(SHARE_TIME_CONSTANT_MS);
    regions.set(region, usage);
    return usage;
  }
}

function newReporterSums(now: Instant): ReporterSums {
  return { reported: new Map(), counted: new Map(), lastReportAt: now };
}
