import type { CustomerLimit } from "../../customers/index.ts";
import {
  DEMAND_PERIOD_MS,
  type DemandReport,
  groupWaiting,
  type PlacedGroup,
  RegionDemand,
} from "../../demand/index.ts";
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  instant,
  SeededRandomness,
  type ServiceId,
} from "../../ids/index.ts";
import { FairShares, SHARE_WINDOW_MS, workOf } from "../index.ts";

const SERVICE = "pool" as ServiceId;
const CLASS = { service: SERVICE, rank: 1, late: false };
const TICK_MS = 25;
const TOKENS = 1_000;
const REQUEST_WORK = workOf({ requests: 1, tokens: TOKENS });
/** Requests that the region's endpoints run at once, and how long each takes. */
export const SLOTS = 12;
export const RUN_MS = 200;
/** Longest wait; a request that waits longer is refused. */
const MAX_WAIT_MS = 1_500;
const CLOCK = {
  since: (then: Instant, now: Instant) => now - then,
} as ConstructorParameters<typeof RegionDemand>[0];

/** One customer's traffic. */
export interface Traffic {
  readonly name: string;
  /** Limit in tokens per second. */
  readonly limit: number;
  /** Requests per second, by time. */
  readonly rate: (now: number) => number;
}

/** What goes wrong on the way. */
export interface Faults {
  readonly isOn?: boolean;
  /** Longest delay of a report. */
  readonly delayMs?: number;
  /** Part of the reports that is lost. */
  readonly loss?: number;
  /** Whether a report from one entry to another is lost. */
  readonly isCut?: (from: number, to: number, now: number) => boolean;
  /** When all entries restart with nothing. */
  readonly restartAt?: number;
}

interface Item {
  readonly customer: CustomerId;
  readonly arrivedAt: number;
}

/** How one customer's requests fared. */
export interface Fate {
  sent: number;
  placed: number;
  /** Longest wait of a request that was placed, in milliseconds. */
  longestWait: number;
}

/** A region of several entries before one pool of endpoints, in virtual time. */
export class SharedRegion {
  readonly fates = new Map<string, Fate>();
  /** Longest time for which a slot was free while a request waited, in milliseconds. */
  idleMs = 0;
  readonly #random: SeededRandomness;
  readonly #traffic: readonly Traffic[];
  readonly #faults: Faults;
  #entries: Entry[];
  readonly #slots: number[] = new Array(SLOTS).fill(0);
  readonly #mail: { at: number; deliver: () => void }[] = [];
  #idleSince: number | undefined;

  constructor(
    { entries, seed, traffic, faults }: {
      entries: number;
      seed: number;
      traffic: readonly Traffic[];
      faults: Faults;
    },
  ) {
    this.#random = new SeededRandomness(seed);
    this.#traffic = traffic;
    this.#faults = faults;
    this.#entries = this.#start(entries);
    traffic.forEach(({ name }) =>
      this.fates.set(name, { sent: 0, placed: 0, longestWait: 0 })
    );
  }

  /** Runs the region, and counts requests that are sent between `from` and `to`. */
  run(counted: { from: number; to: number }): void {
    const until = counted.to + MAX_WAIT_MS;
    for (let now = 0; now < until; now += TICK_MS) {
      if (now === this.#faults.restartAt) {
        this.#entries = this.#start(this.#entries.length);
      }
      this.#arrive(now, counted);
      this.#deliver(now);
      this.#report(now);
      const drained = this.#entries.map((_, index) => index).sort(() =>
        this.#random.next() - 0.5
      );
      drained.forEach((index) => this.#drain(index, now, counted));
      this.#watchIdle(now);
    }
  }

  #start(count: number): Entry[] {
    const limits = new Map(this.#traffic.map(({ name, limit }) => [
      name as CustomerId,
      { unit: "tokens", perSecond: limit, burst: 0, plainTokens: 0 } as const,
    ]));
    return Array.from(
      { length: count },
      () => new Entry(limits, this.#faults.isOn ?? true),
    );
  }

  #arrive(now: number, { from, to }: { from: number; to: number }): void {
    for (const { name, rate } of this.#traffic) {
      let expected = rate(now) * TICK_MS / 1_000;
      while (expected > 0 && this.#random.next() < expected) {
        expected--;
        const index = Math.floor(this.#random.next() * this.#entries.length);
        const customer = name as CustomerId;
        this.#entries[index]!.queue.push({ customer, arrivedAt: now });
        this.fates.get(name)!.sent += now >= from && now < to ? 1 : 0;
      }
    }
  }

  #report(now: number): void {
    if (now % DEMAND_PERIOD_MS !== 0) {
      return;
    }
    const { loss = 0, delayMs = 0, isCut = () => false } = this.#faults;
    this.#entries.forEach((entry, index) => {
      const report = entry.measure(now);
      entry.demand.expire(instant(now));
      entry.demand.setOwn(report);
      this.#entries.forEach((peer, to) => {
        if (
          to !== index && !isCut(index, to, now) && this.#random.next() >= loss
        ) {
          const at = now + this.#random.next() * delayMs;
          const from = `e${index}` as Incarnation;
          const deliver = (): void =>
            peer.demand.receive(from, report, instant(at));
          this.#mail.push({ at, deliver });
        }
      });
    });
  }

  #deliver(now: number): void {
    const due = this.#mail.filter(({ at }) => at <= now);
    const later = this.#mail.filter(({ at }) => at > now);
    this.#mail.splice(0, this.#mail.length, ...later);
    due.forEach(({ deliver }) => deliver());
  }

  #drain(
    index: number,
    now: number,
    { from, to }: { from: number; to: number },
  ): void {
    const entry = this.#entries[index]!;
    entry.refuseOld(now);
    if (this.#free(now) === 0) {
      return entry.noteBusy();
    }
    const yielded = new Set<CustomerId>();
    for (const item of entry.ordered(now)) {
      if (yielded.has(item.customer)) {
        continue;
      }
      const free = this.#slots.findIndex((until) => until <= now);
      if (free < 0) {
        return entry.noteBusy();
      }
      if (entry.mustYield(item, this.#free(now), now)) {
        yielded.add(item.customer);
      } else {
        this.#slots[free] = now + RUN_MS;
        entry.place(item, now);
        if (item.arrivedAt >= from && item.arrivedAt < to) {
          const fate = this.fates.get(item.customer)!;
          fate.placed++;
          fate.longestWait = Math.max(fate.longestWait, now - item.arrivedAt);
        }
      }
    }
  }

  #free(now: number): number {
    return this.#slots.filter((until) => until <= now).length;
  }

  #watchIdle(now: number): void {
    const waits = this.#entries.some(({ queue }) => queue.length > 0);
    if (!waits || this.#free(now) === 0) {
      this.#idleSince = undefined;
      return;
    }
    this.#idleSince ??= now;
    this.idleMs = Math.max(this.idleMs, now - this.#idleSince);
  }
}

/** One entry: its queue, what it knows of the region and what it placed. */
class Entry {
  queue: Item[] = [];
  readonly demand = new RegionDemand(CLOCK);
  readonly #shares: FairShares;
  #placed: { customer: CustomerId; at: number }[] = [];

  constructor(limits: ReadonlyMap<CustomerId, CustomerLimit>, isOn: boolean) {
    this.#shares = new FairShares({
      demand: this.demand,
      isOn: () => isOn,
      limitOf: (id) => limits.get(id),
      placedHere: (now) => this.#placedAt(now),
    });
  }

  ordered(time: number): Item[] {
    const now = instant(time);
    if (!this.#shares.isContended(now)) {
      return [...this.queue];
    }
    const times = this.#shares.startTimes(
      this.queue.map(({ customer, arrivedAt }) => ({
        ...CLASS,
        customer,
        virtualArrival: arrivedAt,
        tokens: TOKENS,
      })),
      now,
    );
    return this.queue.map((item, index) => ({ item, time: times[index]! }))
      .sort((left, right) => left.time - right.time)
      .map(({ item }) => item);
  }

  refuseOld(now: number): void {
    this.queue = this.queue.filter(({ arrivedAt }) =>
      now - arrivedAt <= MAX_WAIT_MS
    );
  }

  noteBusy(): void {
    this.#shares.noteBusy(SERVICE);
  }

  mustYield({ customer }: Item, free: number, now: number): boolean {
    return this.#shares.mustYield(
      { ...CLASS, customer },
      () => ({ requests: free, tokens: free * REQUEST_WORK }),
      instant(now),
    );
  }

  place(item: Item, now: number): void {
    this.queue = this.queue.filter((other) => other !== item);
    this.#placed.push({ customer: item.customer, at: now });
    this.#shares.recordPlaced(SERVICE, {
      customer: item.customer,
      tokens: TOKENS,
    });
  }

  measure(now: number): DemandReport {
    return {
      waiting: groupWaiting(this.queue.map(({ customer }) => ({
        ...CLASS,
        customer,
        tokens: TOKENS,
      }))),
      placed: this.#placedAt(now),
    };
  }

  #placedAt(now: number): PlacedGroup[] {
    this.#placed = this.#placed.filter(({ at }) => now - at < SHARE_WINDOW_MS);
    const counts = new Map<CustomerId, number>();
    for (const { customer } of this.#placed) {
      counts.set(customer, (counts.get(customer) ?? 0) + 1);
    }
    return [...counts].map(([customer, requests]) => ({
      service: SERVICE,
      customer,
      requests,
      tokens: requests * TOKENS,
    }));
  }
}
