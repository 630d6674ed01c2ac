/**
 * Entries of three regions before one customer, under virtual time: its requests, what entries tell each
 * other over links that are late, lose and are cut, and processes that are killed.
 *
 * @module
 */
import {
  type Customer,
  CustomerLimits,
  type LimitSources,
  type SpendingMessage,
} from "../index.ts";
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  instant,
  type RegionId,
  SeededRandomness,
} from "../../ids/index.ts";

const TICK_MS = 25;
const NEAR_MS = 1;
const FAR_MS = 80;
/** After it an entry that is silent is known to be. */
const DETECTION_MS = 2_500;
const REGIONS = ["a", "b", "c"] as RegionId[];

/** Takes a request, at a time, or refuses it. */
export interface Taken {
  readonly at: number;
  readonly cost: number;
  readonly admitted: boolean;
  readonly region: RegionId;
}

interface Entry {
  readonly name: string;
  readonly region: RegionId;
  life: number;
  limits: CustomerLimits;
  startedAt: number;
}

/** The world of one run. */
export class LimitModel {
  now = 0;
  readonly taken: Taken[] = [];
  readonly sent = { count: 0, sums: 0 };
  customer: Customer;
  readonly #random: SeededRandomness;
  readonly #entries: Entry[] = [];
  /** Side of each region: those on different sides do not hear each other. */
  readonly #sides = new Map<RegionId, number>();
  readonly #cutAt = new Map<string, number>();
  #mail: { at: number; to: Incarnation; message: SpendingMessage }[] = [];
  loss = 0;

  constructor(
    { perSecond, burst, entries, seed }: {
      perSecond: number;
      burst: number;
      entries: number;
      seed: number;
    },
  ) {
    this.#random = new SeededRandomness(seed);
    this.customer = customerOf(perSecond, burst);
    for (const region of REGIONS) {
      for (let index = 0; index < entries; index++) {
        const entry = {
          name: `${region}${index}`,
          region,
          life: 0,
          startedAt: 0,
          limits: undefined as unknown as CustomerLimits,
        };
        this.#entries.push(entry);
        this.#start(entry);
      }
    }
  }

  /** A lower or higher limit is in force everywhere. */
  limit(perSecond: number, burst: number): void {
    this.customer = customerOf(perSecond, burst);
  }

  /** Every process is killed and starts again. */
  restartAll(): void {
    this.#mail = [];
    this.#entries.forEach((entry) => this.#start(entry));
  }

  restart(index: number): void {
    this.#start(this.#entries[index % this.#entries.length]!);
  }

  cut(region: string, side: number): void {
    this.#sides.set(region as RegionId, side);
    this.#cutAt.set(region, this.now);
  }

  heal(): void {
    this.#sides.clear();
  }

  /** A request at one of a region's entries; one that waits for word asks again later. */
  request(
    { region, cost, arrivedAt = this.now }: {
      region: string;
      cost: number;
      arrivedAt?: number;
    },
    at = this.#pick(region),
  ): boolean | undefined {
    const hurried = this.now - arrivedAt >= 150;
    const verdict = at.limits.take(
      this.customer,
      { cost, hurried },
      this.#instant(),
    );
    if (verdict.kind === "unheard") {
      this.#waiting.push({ at, cost, arrivedAt });
      return undefined;
    }
    const admitted = verdict.kind === "admitted";
    this.taken.push({ at: this.now, cost, admitted, region: at.region });
    return admitted;
  }

  /** Runs on for a while; `each` is called at each tick. */
  run(time: number, each: (now: number) => void = () => {}): void {
    const end = this.now + time;
    while (this.now < end) {
      this.now += TICK_MS;
      this.#deliver();
      const waiting = this.#waiting;
      this.#waiting = [];
      for (const { at, cost, arrivedAt } of waiting) {
        this.request({ region: at.region, cost, arrivedAt }, at);
      }
      each(this.now);
      this.#entries.forEach(({ limits }) => limits.tick(this.#instant()));
    }
  }

  /** Most that ran within any window. */
  most(window: number): number {
    const admitted = this.taken.filter(({ admitted }) => admitted);
    let most = 0;
    let sum = 0;
    let first = 0;
    for (const { at, cost } of admitted) {
      sum += cost;
      while (admitted[first]!.at <= at - window) {
        sum -= admitted[first++]!.cost;
      }
      most = Math.max(most, sum);
    }
    return most;
  }

  sum(from: number, to: number, admitted: boolean): number {
    return this.taken.filter((item) =>
      item.at >= from && item.at < to && item.admitted === admitted
    ).reduce((sum, { cost }) => sum + cost, 0);
  }

  #waiting: { at: Entry; cost: number; arrivedAt: number }[] = [];

  #instant(): Instant {
    return instant(this.now);
  }

  #pick(region: string): Entry {
    const among = this.#entries.filter((entry) => entry.region === region);
    return among[Math.floor(this.#random.next() * among.length)]!;
  }

  #start(entry: Entry): void {
    entry.life++;
    entry.startedAt = this.now;
    entry.limits = new CustomerLimits(this.#sources(entry));
  }

  #sources(entry: Entry): LimitSources {
    const incarnation = incarnationOf(entry);
    return {
      self: { incarnation, region: entry.region },
      regions: REGIONS,
      random: this.#random,
      keeperOf: (region) => this.#keeperOf(region, entry),
      limited: () => true,
      limitOf: () => this.customer.limit,
      entries: () => this.#entries.length,
      send: (to, message) => this.#send(entry, to, message),
    };
  }

  /** A cut is known after a while; until then others are taken to be there. */
  #keeperOf(region: RegionId, by: Entry): Incarnation | undefined {
    const known = this.now - (this.#cutAt.get(region) ?? -Infinity) >
      DETECTION_MS;
    if (region !== by.region && known && !this.#hears(region, by.region)) {
      return undefined;
    }
    const entry = this.#entries.find((item) => item.region === region)!;
    return incarnationOf(entry);
  }

  #hears(left: RegionId, right: RegionId): boolean {
    return (this.#sides.get(left) ?? 0) === (this.#sides.get(right) ?? 0);
  }

  #send(from: Entry, to: Incarnation, message: SpendingMessage): void {
    this.sent.count++;
    const target = this.#entries.find((item) => incarnationOf(item) === to);
    const lost = target === undefined ||
      !this.#hears(from.region, target.region) ||
      this.#random.next() < this.loss;
    if (!lost) {
      const way = target.region === from.region ? NEAR_MS : FAR_MS;
      this.#mail.push({ at: this.now + way, to, message });
    }
  }

  #deliver(): void {
    const due = this.#mail.filter(({ at }) => at <= this.now);
    this.#mail = this.#mail.filter(({ at }) => at > this.now);
    for (const { to, message } of due) {
      this.#entries.find((item) => incarnationOf(item) === to)
        ?.limits.receive(message, this.#instant());
    }
  }
}

function incarnationOf({ name, life }: Entry): Incarnation {
  return `${name}-${life}` as Incarnation;
}

function customerOf(perSecond: number, burst: number): Customer {
  return {
    id: "clinic" as CustomerId,
    keyDigests: [],
    rank: undefined,
    homes: [],
    limit: { unit: "tokens", perSecond, burst, plainTokens: 200 },
  };
}
