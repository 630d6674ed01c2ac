/**
 * Adds up what the entries of a region let in, for the one entry that does so at present.
 *
 * All sums are kept as what was added while this keeper was told of it: a keeper that has just become one,
 * and an entry that has just chosen it, must not take a life's use for that of a moment.
 *
 * @module
 */
import type {
  CustomerId,
  Incarnation,
  Instant,
  RegionId,
} from "../ids/index.ts";
import { FadingSum } from "./fading_sum.ts";
import type { SpendingReport, SpendingTotals } from "./spending_messages.ts";

/** Shares of a limit go by the use of this time: all regions have seen most of it. */
const SHARE_LIFETIME_MS = 8_000;
/** A region that is silent for longer counts as cut off, and keeps its part of each limit. */
export const HEARD_MS = 600;
/** An entry that is silent for so long is forgotten; what it spent stays counted. */
const FORGET_MS = 60_000;

/** What one entry, or another region's keeper, told last. */
interface Teller {
  readonly told: Map<CustomerId, number>;
  /** Added since this keeper hears it. */
  readonly added: Map<CustomerId, number>;
  heardAt: Instant;
}

/** The sums of one region and what others told of theirs. */
export class SpendingKeeper {
  readonly #region: RegionId;
  readonly #regions: readonly RegionId[];
  readonly #entries = new Map<Incarnation, Teller>();
  /** Added by entries that are forgotten. */
  readonly #gone = new Map<CustomerId, number>();
  readonly #others = new Map<RegionId, Teller & { keeper: Incarnation }>();
  /** Part of each region by customer, as it was when all were last heard. */
  readonly #agreed = new Map<CustomerId, ReadonlyMap<RegionId, number>>();
  /** Use of each region by customer, fading. */
  readonly #uses = new Map<CustomerId, Map<RegionId, FadingSum>>();

  constructor(region: RegionId, regions: readonly RegionId[]) {
    this.#region = region;
    this.#regions = regions;
  }

  /** Entries of the region that told something since an instant. */
  tellersSince(since: Instant): Incarnation[] {
    return [...this.#entries].filter(([, { heardAt }]) => heardAt >= since)
      .map(([incarnation]) => incarnation);
  }

  /** Whether an entry told something since an instant. */
  hearsEntry(entry: Incarnation, since: Instant): boolean {
    return (this.#entries.get(entry)?.heardAt ?? -Infinity) >= since;
  }

  /** Takes a report. Returns what was added, by customer. */
  learnReport(
    { incarnation, first, spent }: SpendingReport,
    now: Instant,
  ): Map<CustomerId, number> {
    const known = this.#entries.get(incarnation);
    const teller = known ?? newTeller(now);
    this.#entries.set(incarnation, teller);
    teller.heardAt = now;
    const counts = known !== undefined || first;
    return this.#add(teller, spent, { counts, region: this.#region, now });
  }

  /** Takes another keeper's sums of its own region. */
  learnTotals(
    { incarnation, region, totals }: SpendingTotals,
    now: Instant,
  ): Map<CustomerId, number> {
    const known = this.#others.get(region);
    // What it let in while it was not heard came out of its own part.
    const same = known?.keeper === incarnation &&
      now - known.heardAt <= HEARD_MS;
    const teller = same ? known : {
      ...newTeller(now),
      added: known?.added ?? new Map(),
      keeper: incarnation,
    };
    this.#others.set(region, teller);
    teller.heardAt = now;
    return this.#add(teller, totals, { counts: same, region, now });
  }

  /** Sum of a customer for one recipient: all that others of the region and other regions added. */
  sumForEntry(customer: CustomerId, entry: Incarnation): number {
    let sum = this.#gone.get(customer) ?? 0;
    for (const [incarnation, { added }] of this.#entries) {
      sum += incarnation === entry ? 0 : added.get(customer) ?? 0;
    }
    for (const { added } of this.#others.values()) {
      sum += added.get(customer) ?? 0;
    }
    return sum;
  }

  /** Sum of a customer in the own region. */
  sumOfRegion(customer: CustomerId): number {
    let sum = this.#gone.get(customer) ?? 0;
    for (const { added } of this.#entries.values()) {
      sum += added.get(customer) ?? 0;
    }
    return sum;
  }

  /** Customers that were used lately. */
  customers(): Iterable<CustomerId> {
    return this.#uses.keys();
  }

  /** Units a second that a customer used lately in all regions. */
  rate(customer: CustomerId, now: Instant): number {
    let sum = 0;
    for (const use of this.#uses.get(customer)?.values() ?? []) {
      sum += use.of(now);
    }
    return sum * 1_000 / SHARE_LIFETIME_MS;
  }

  /**
   * Part of a limit that the heard regions may use together. Cut off from each other, each would think
   * itself alone and let the whole limit in; so each side keeps the part that it used while all were heard.
   */
  heardPart(customer: CustomerId, now: Instant): number {
    const heard = this.#regions.filter((region) => this.#hears(region, now));
    if (heard.length === this.#regions.length) {
      this.#agreed.set(customer, this.#parts(customer, now));
      return 1;
    }
    const agreed = this.#agreed.get(customer);
    const equal = 1 / this.#regions.length;
    return heard.reduce(
      (sum, region) => sum + (agreed?.get(region) ?? equal),
      0,
    );
  }

  /** Parts of what was used lately; equal ones where nothing was. */
  #parts(
    customer: CustomerId,
    now: Instant,
  ): ReadonlyMap<RegionId, number> {
    const uses = this.#uses.get(customer);
    const useOf = (region: RegionId): number => uses?.get(region)?.of(now) ?? 0;
    const all = this.#regions.reduce((sum, region) => sum + useOf(region), 0);
    return new Map(
      this.#regions.map((region) => [
        region,
        all > 0 ? useOf(region) / all : 1 / this.#regions.length,
      ]),
    );
  }

  /** Forgets entries that ended long ago. */
  tick(now: Instant): void {
    for (const [incarnation, { heardAt, added }] of this.#entries) {
      if (now - heardAt > FORGET_MS) {
        this.#entries.delete(incarnation);
        added.forEach((sum, customer) =>
          this.#gone.set(customer, (this.#gone.get(customer) ?? 0) + sum)
        );
      }
    }
  }

  #hears(region: RegionId, now: Instant): boolean {
    const heardAt = this.#others.get(region)?.heardAt;
    return region === this.#region ||
      heardAt !== undefined && now - heardAt <= HEARD_MS;
  }

  #add(
    { told, added }: Teller,
    sums: readonly { readonly customer: CustomerId; readonly sum: number }[],
    { counts, region, now }: {
      counts: boolean;
      region: RegionId;
      now: Instant;
    },
  ): Map<CustomerId, number> {
    const news = new Map<CustomerId, number>();
    for (const { customer, sum } of sums) {
      const before = told.get(customer) ?? 0;
      told.set(customer, sum);
      if (counts && sum !== before) {
        added.set(customer, (added.get(customer) ?? 0) + sum - before);
        news.set(customer, sum - before);
        this.#use(customer, region).add(sum - before, now);
      }
    }
    return news;
  }

  #use(customer: CustomerId, region: RegionId): FadingSum {
    const regions = this.#uses.get(customer) ?? new Map<RegionId, FadingSum>();
    this.#uses.set(customer, regions);
    const use = regions.get(region) ?? new FadingSum(SHARE_LIFETIME_MS);
    regions.set(region, use);
    return use;
  }
}

function newTeller(now: Instant): Teller {
  return { told: new Map(), added: new Map(), heardAt: now };
}
