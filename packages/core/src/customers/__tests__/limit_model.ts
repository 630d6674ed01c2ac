/**
 * Simulates, in virtual time, the entries of three regions that serve one customer: the customer's requests,
 * messages between entries over links with latency, loss and partitions, and killed processes.
 *
 * @module
 */
import {
  type Customer,
  CustomerLimits,
  type CustomerLimitSources,
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

/** Step of the virtual time. */
const TICK_MS = 25;
const SAME_REGION_LATENCY_MS = 1;
const CROSS_REGION_LATENCY_MS = 80;
/** Time until a partition is detected. */
const DETECTION_MS = 2_500;
const REGIONS = ["a", "b", "c"] as RegionId[];

/** The decision on one request. */
export interface Decision {
  readonly at: number;
  readonly cost: number;
  readonly admitted: boolean;
  readonly region: RegionId;
}

interface Entry {
  readonly name: string;
  readonly region: RegionId;
  generation: number;
  limits: CustomerLimits;
  startedAt: number;
}

/** The simulation of one test run. */
export class LimitModel {
  now = 0;
  readonly decisions: Decision[] = [];
  readonly sent = { count: 0, sums: 0 };
  customer: Customer;
  readonly #random: SeededRandomness;
  readonly #entries: Entry[] = [];
  /** Side of the network partition that each region is on. Regions on different sides are disconnected. */
  readonly #partitionSides = new Map<RegionId, number>();
  readonly #partitionedAt = new Map<string, number>();
  #inFlight: { at: number; to: Incarnation; message: SpendingMessage }[] = [];
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
          generation: 0,
          startedAt: 0,
          limits: undefined as unknown as CustomerLimits,
        };
        this.#entries.push(entry);
        this.#start(entry);
      }
    }
  }

  /** Changes the customer's limit at all entries. */
  setLimit(perSecond: number, burst: number): void {
    this.customer = customerOf(perSecond, burst);
  }

  /** Kills and restarts every entry. */
  restartAll(): void {
    this.#inFlight = [];
    this.#entries.forEach((entry) => this.#start(entry));
  }

  restart(index: number): void {
    this.#start(this.#entries[index % this.#entries.length]!);
  }

  partition(region: string, side: number): void {
    this.#partitionSides.set(region as RegionId, side);
    this.#partitionedAt.set(region, this.now);
  }

  heal(): void {
    this.#partitionSides.clear();
  }

  /** Sends a request to an entry of a region. If the entry has no current totals yet, it decides again later. */
  request(
    { region, cost, arrivedAt = this.now }: {
      region: string;
      cost: number;
      arrivedAt?: number;
    },
    entry = this.#randomEntry(region),
  ): boolean | undefined {
    const hurried = this.now - arrivedAt >= 150;
    const verdict = entry.limits.take(
      this.customer,
      { cost, hurried },
      this.#instant(),
    );
    if (verdict.kind === "unheard") {
      this.#waiting.push({ entry, cost, arrivedAt });
      return undefined;
    }
    const admitted = verdict.kind === "admitted";
    this.decisions.push({ at: this.now, cost, admitted, region: entry.region });
    return admitted;
  }

  /** Advances the virtual time by `time`. `onTick` is called at each tick. */
  run(time: number, onTick: (now: number) => void = () => {}): void {
    const end = this.now + time;
    while (this.now < end) {
      this.now += TICK_MS;
      this.#deliver();
      const waiting = this.#waiting;
      this.#waiting = [];
      for (const { entry, cost, arrivedAt } of waiting) {
        this.request({ region: entry.region, cost, arrivedAt }, entry);
      }
      onTick(this.now);
      this.#entries.forEach(({ limits }) => limits.tick(this.#instant()));
    }
  }

  /** Highest admitted cost within any window of the given length. */
  maxAdmittedWithin(window: number): number {
    const admitted = this.decisions.filter(({ admitted }) => admitted);
    let max = 0;
    let sum = 0;
    let first = 0;
    for (const { at, cost } of admitted) {
      sum += cost;
      while (admitted[first]!.at <= at - window) {
        sum -= admitted[first++]!.cost;
      }
      max = Math.max(max, sum);
    }
    return max;
  }

  /** Total cost of the requests that were admitted, or refused, from `from` to `to`. */
  totalCost(from: number, to: number, admitted: boolean): number {
    return this.decisions.filter((item) =>
      item.at >= from && item.at < to && item.admitted === admitted
    ).reduce((sum, { cost }) => sum + cost, 0);
  }

  #waiting: { entry: Entry; cost: number; arrivedAt: number }[] = [];

  #instant(): Instant {
    return instant(this.now);
  }

  #randomEntry(region: string): Entry {
    const candidates = this.#entries.filter((entry) => entry.region === region);
    return candidates[Math.floor(this.#random.next() * candidates.length)]!;
  }

  #start(entry: Entry): void {
    entry.generation++;
    entry.startedAt = this.now;
    entry.limits = new CustomerLimits(this.#sources(entry));
  }

  #sources(entry: Entry): CustomerLimitSources {
    const incarnation = incarnationOf(entry);
    return {
      self: { incarnation, region: entry.region },
      regions: REGIONS,
      random: this.#random,
      aggregatorOf: (region) => this.#aggregatorOf(region, entry),
      hasLimits: () => true,
      limitOf: () => this.customer.limit,
      possibleEntries: () => this.#entries.length,
      send: (to, message) => this.#send(entry, to, message),
    };
  }

  /** A partition is detected after some time. Until then the other side counts as connected. */
  #aggregatorOf(region: RegionId, by: Entry): Incarnation | undefined {
    const isDetected =
      this.now - (this.#partitionedAt.get(region) ?? -Infinity) >
        DETECTION_MS;
    if (
      region !== by.region && isDetected &&
      !this.#isConnected(region, by.region)
    ) {
      return undefined;
    }
    const entry = this.#entries.find((item) => item.region === region)!;
    return incarnationOf(entry);
  }

  #isConnected(left: RegionId, right: RegionId): boolean {
    return (this.#partitionSides.get(left) ?? 0) ===
      (this.#partitionSides.get(right) ?? 0);
  }

  #send(from: Entry, to: Incarnation, message: SpendingMessage): void {
    this.sent.count++;
    const target = this.#entries.find((item) => incarnationOf(item) === to);
    const lost = target === undefined ||
      !this.#isConnected(from.region, target.region) ||
      this.#random.next() < this.loss;
    if (!lost) {
      const latencyMs = target.region === from.region
        ? SAME_REGION_LATENCY_MS
        : CROSS_REGION_LATENCY_MS;
      this.#inFlight.push({ at: this.now + latencyMs, to, message });
    }
  }

  #deliver(): void {
    const due = this.#inFlight.filter(({ at }) => at <= this.now);
    this.#inFlight = this.#inFlight.filter(({ at }) => at > this.now);
    for (const { to, message } of due) {
      this.#entries.find((item) => incarnationOf(item) === to)
        ?.limits.receive(message, this.#instant());
    }
  }
}

function incarnationOf({ name, generation }: Entry): Incarnation {
  return `${name}-${generation}` as Incarnation;
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
