/**
 * What one entry knows of each customer's limit: its copy of the bucket, and the part of it that is its own.
 *
 * @module
 */
import type { CustomerId, Instant } from "../ids/index.ts";
import type { CustomerLimit } from "./customer.ts";
import { FadingSum } from "./fading_sum.ts";
import { LimitBucket } from "./limit_bucket.ts";
import type { CustomerTotal } from "./spending_messages.ts";

/** Own use, and that of others, by which an entry that hears nobody knows its part. */
const USE_LIFETIME_MS = 8_000;
/** Below this part of its burst a customer is near its limit. */
const NEAR_PART = 0.5;

/** One customer's account. */
export interface LimitAccount {
  readonly id: CustomerId;
  readonly bucket: LimitBucket;
  /** What others let in, fading. */
  readonly others: FadingSum;
  /** What this entry let in, fading. */
  readonly own: FadingSum;
  /** Part of the limit that the keeper told. */
  part: number;
  /** This entry's part of all use, as it was when others were last heard. */
  ownPart: number;
  /** Whether another entry's level was taken over. */
  settled: boolean;
}

/** What accounts are kept by. */
export interface AccountSources {
  /** Entries that may be alive, this one included. */
  readonly entries: () => number;
  /** Limit of a customer whose account is opened once others tell of it, `undefined` where it is not. */
  readonly limitOf: (id: CustomerId) => CustomerLimit | undefined;
  /** Whether what others let in is known. */
  readonly hears: (now: Instant) => boolean;
  /** Part of a limit that this entry adds up for, `undefined` where it adds up for nobody. */
  readonly keptPart: (id: CustomerId, now: Instant) => number | undefined;
  /** What the keeper told last of a customer. */
  readonly told: (id: CustomerId) => CustomerTotal | undefined;
}

/** Accounts by customer. */
export class LimitAccounts {
  readonly #sources: AccountSources;
  readonly #accounts = new Map<CustomerId, LimitAccount>();

  constructor(sources: AccountSources) {
    this.#sources = sources;
  }

  find(id: CustomerId): LimitAccount | undefined {
    return this.#accounts.get(id);
  }

  /** The account of a customer, by the limit that is in force. */
  open(
    { id, limit }: { id: CustomerId; limit: CustomerLimit },
    now: Instant,
  ): LimitAccount {
    const known = this.#accounts.get(id);
    if (known !== undefined) {
      known.bucket.rebound(limit);
      return known;
    }
    const { entries, hears, told } = this.#sources;
    const equal = 1 / Math.max(1, entries());
    const part = this.#sources.keptPart(id, now) ?? (hears(now) ? 1 : equal);
    // The part that is known to be its own: this may be the second start of all within a window.
    const level = limit.burst * part;
    const account = {
      id,
      bucket: new LimitBucket(limit, { level, now }),
      others: new FadingSum(USE_LIFETIME_MS),
      own: new FadingSum(USE_LIFETIME_MS),
      part,
      ownPart: equal,
      settled: false,
    };
    this.#accounts.set(id, account);
    const total = hears(now) ? told(id) : undefined;
    if (total !== undefined) {
      this.settle(total, now);
    }
    return account;
  }

  /** Fills a bucket up to now. Returns the part of its limit that counts here. */
  refill(account: LimitAccount, now: Instant): number {
    const part = this.#partOf(account, now);
    account.bucket.refill(part, now);
    return part;
  }

  /** Takes what others let in off the buckets. */
  charge(news: ReadonlyMap<CustomerId, number>, now: Instant): void {
    for (const [id, sum] of news) {
      const limit = this.#sources.limitOf(id);
      const account = limit === undefined
        ? this.#accounts.get(id)
        : this.open({ id, limit }, now);
      if (account !== undefined) {
        this.refill(account, now);
        account.bucket.charge(sum);
        account.others.add(sum, now);
      }
    }
  }

  /** Takes over another entry's level where this one has just begun, and its keeper's part. */
  settle({ customer, level, part }: CustomerTotal, now: Instant): void {
    const account = this.#accounts.get(customer);
    if (account === undefined) {
      return;
    }
    if (this.#sources.keptPart(customer, now) === undefined) {
      account.part = part;
      account.ownPart = ownPartOf(account, now) ?? account.ownPart;
    }
    if (!account.settled) {
      account.settled = true;
      account.bucket.refill(part, now);
      account.bucket.adopt(level);
    }
  }

  /** Others were not heard for a while: their level is taken over again. */
  unsettle(): void {
    this.#accounts.forEach((account) => account.settled = false);
  }

  /** Units that are left of a customer's limit; 0 where it was not asked for. */
  levelOf(id: CustomerId, now: Instant): number {
    const account = this.#accounts.get(id);
    if (account === undefined) {
      return 0;
    }
    this.refill(account, now);
    return account.bucket.level;
  }

  /** Whether some customer is near its limit. */
  isNear(): boolean {
    return [...this.#accounts.values()].some(({ bucket }) =>
      bucket.level < bucket.most * NEAR_PART
    );
  }

  #partOf(account: LimitAccount, now: Instant): number {
    const { hears, keptPart } = this.#sources;
    return keptPart(account.id, now) ??
      (hears(now) ? account.part : account.ownPart);
  }
}

/** Own part of all use, `undefined` where there was none. */
function ownPartOf(
  { own, others }: LimitAccount,
  now: Instant,
): number | undefined {
  const all = own.of(now) + others.of(now);
  return all > 0 ? own.of(now) / all : undefined;
}
