/**
 * One entry's state for each customer's limit: its copy of the bucket, and its own share of the limit.
 *
 * @module
 */
import type { CustomerId, Instant } from "../ids/index.ts";
import type { CustomerLimit } from "./customer.ts";
import { DecayingSum } from "./decaying_sum.ts";
import { LimitBucket } from "./limit_bucket.ts";
import type { CustomerTotal } from "./spending_messages.ts";

/** Decay of own and others' usage, which determine the share of an entry without current totals. */
const USAGE_TIME_CONSTANT_MS = 8_000;
/** A customer whose bucket is below this fraction of its burst is near its limit. */
const NEAR_LIMIT_FRACTION = 0.5;

/** One customer's usage and bucket. */
export interface LimitAccount {
  readonly id: CustomerId;
  readonly bucket: LimitBucket;
  /** Units recently admitted by other entries. */
  readonly othersUsage: DecayingSum;
  /** Units recently admitted by this entry. */
  readonly ownUsage: DecayingSum;
  /** Share of the limit that the aggregator reported. */
  share: number;
  /** This entry's share of all usage when totals were last received. */
  ownShare: number;
  /** Whether the level was taken over from an aggregator. */
  levelAdopted: boolean;
}

/** Dependencies of the accounts. */
export interface AccountSources {
  /** Number of entries that may be alive, including this one. */
  readonly possibleEntries: () => number;
  /** Limit of a customer whose account is created when others report its usage; `undefined` to create none. */
  readonly limitOf: (id: CustomerId) => CustomerLimit | undefined;
  /** Whether the usage at other entries is known. */
  readonly hasCurrentTotals: (now: Instant) => boolean;
  /** Share of a limit available to the regions this entry can reach, `undefined` if it is not an aggregator. */
  readonly aggregatedShare: (
    id: CustomerId,
    now: Instant,
  ) => number | undefined;
  /** The aggregator's latest total for a customer. */
  readonly lastTotal: (id: CustomerId) => CustomerTotal | undefined;
}

/** The accounts of all customers. */
export class LimitAccounts {
  readonly #sources: AccountSources;
  readonly #accounts = new Map<CustomerId, LimitAccount>();

  constructor(sources: AccountSources) {
    this.#sources = sources;
  }

  find(id: CustomerId): LimitAccount | undefined {
    return this.#accounts.get(id);
  }

  /** Returns the customer's account, updated to the limit in force. */
  getOrCreate(
    { id, limit }: { id: CustomerId; limit: CustomerLimit },
    now: Instant,
  ): LimitAccount {
    const known = this.#accounts.get(id);
    if (known !== undefined) {
      known.bucket.setLimit(limit);
      return known;
    }
    const { possibleEntries, hasCurrentTotals, lastTotal } = this.#sources;
    const equalShare = 1 / Math.max(1, possibleEntries());
    const share = this.#sources.aggregatedShare(id, now) ??
      (hasCurrentTotals(now) ? 1 : equalShare);
    // Starts with only the share known to belong to this entry: after several restarts of all entries within a
    // window, full buckets would admit a whole burst each time.
    const level = limit.burst * share;
    const account = {
      id,
      bucket: new LimitBucket(limit, { level, now }),
      othersUsage: new DecayingSum(USAGE_TIME_CONSTANT_MS),
      ownUsage: new DecayingSum(USAGE_TIME_CONSTANT_MS),
      share,
      ownShare: equalShare,
      levelAdopted: false,
    };
    this.#accounts.set(id, account);
    const total = hasCurrentTotals(now) ? lastTotal(id) : undefined;
    if (total !== undefined) {
      this.applyTotal(total, now);
    }
    return account;
  }

  /** Refills a bucket up to now. Returns the share of the limit that applies to this entry. */
  refill(account: LimitAccount, now: Instant): number {
    const share = this.#shareOf(account, now);
    account.bucket.refill(share, now);
    return share;
  }

  /** Deducts units that other entries admitted. */
  charge(increases: ReadonlyMap<CustomerId, number>, now: Instant): void {
    for (const [id, sum] of increases) {
      const limit = this.#sources.limitOf(id);
      const account = limit === undefined
        ? this.#accounts.get(id)
        : this.getOrCreate({ id, limit }, now);
      if (account !== undefined) {
        this.refill(account, now);
        account.bucket.charge(sum);
        account.othersUsage.add(sum, now);
      }
    }
  }

  /** Applies an aggregator's total: its share, and its level if none was taken over yet. */
  applyTotal({ customer, level, part }: CustomerTotal, now: Instant): void {
    const account = this.#accounts.get(customer);
    if (account === undefined) {
      return;
    }
    if (this.#sources.aggregatedShare(customer, now) === undefined) {
      account.share = part;
      account.ownShare = ownShareOf(account, now) ?? account.ownShare;
    }
    if (!account.levelAdopted) {
      account.levelAdopted = true;
      account.bucket.refill(part, now);
      account.bucket.setLevel(level);
    }
  }

  /** Takes over levels again from the next totals. Called after a period without totals. */
  resetAdoptedLevels(): void {
    this.#accounts.forEach((account) => account.levelAdopted = false);
  }

  /** Units left of a customer's limit, 0 for a customer without an account. */
  levelOf(id: CustomerId, now: Instant): number {
    const account = this.#accounts.get(id);
    if (account === undefined) {
      return 0;
    }
    this.refill(account, now);
    return account.bucket.level;
  }

  /** Whether any customer is near its limit. */
  isAnyNearLimit(): boolean {
    return [...this.#accounts.values()].some(({ bucket }) =>
      bucket.level < bucket.capacity * NEAR_LIMIT_FRACTION
    );
  }

  #shareOf(account: LimitAccount, now: Instant): number {
    const { hasCurrentTotals, aggregatedShare } = this.#sources;
    return aggregatedShare(account.id, now) ??
      (hasCurrentTotals(now) ? account.share : account.ownShare);
  }
}

/** This entry's share of all recent usage, `undefined` if there was none. */
function ownShareOf(
  { ownUsage, othersUsage }: LimitAccount,
  now: Instant,
): number | undefined {
  const total = ownUsage.valueAt(now) + othersUsage.valueAt(now);
  return total > 0 ? ownUsage.valueAt(now) / total : undefined;
}
