import { describe, expect, it } from "vitest";
import {
  type CustomerId,
  type Incarnation,
  instant,
  type RegionId,
  SeededRandomness,
} from "../../ids/index.ts";
import {
  type Customer,
  CustomerLimits,
  type SpendingMessage,
} from "../index.ts";
import { LimitClaims } from "../limit_claims.ts";
import { LimitModel } from "./limit_model.ts";

const BURST = 4_000;
const COST = 1_000;
const REGION = "a" as RegionId;
const CUSTOMER: Customer = {
  id: "clinic" as CustomerId,
  keyDigests: [],
  rank: undefined,
  homes: [],
  limit: {
    unit: "requests",
    perSecond: BURST / 2,
    burst: BURST,
    plainTokens: 200,
  },
};
/** Longest time for which a request waits for a decision. */
const WAIT_MS = 150;
const TICK_MS = 25;

/** Entries of one region that exchange messages without delay, under the tests' control. */
class Entries {
  now = 0;
  /** Whether a message is lost. */
  isLost = (_message: SpendingMessage): boolean => false;
  readonly sent: SpendingMessage[] = [];
  readonly #limits = new Map<Incarnation, CustomerLimits>();
  #queue: { to: Incarnation; message: SpendingMessage }[] = [];

  constructor(readonly names: readonly string[]) {}

  /** Starts an entry that takes `aggregator` for the region's aggregator. */
  start(name: string, aggregator: () => string): void {
    this.#limits.set(
      name as Incarnation,
      new CustomerLimits({
        self: { incarnation: name as Incarnation, region: REGION },
        regions: [REGION],
        random: new SeededRandomness(1),
        aggregatorOf: () => aggregator() as Incarnation,
        hasLimits: () => true,
        limitOf: () => CUSTOMER.limit,
        possibleEntries: () => this.names.length,
        possiblePeers: () => this.names.length - 1,
        send: (to, message) => {
          this.sent.push(message);
          this.#queue.push({ to, message });
        },
      }),
    );
  }

  /** Sends requests to an entry until each is decided. Returns how many were admitted. */
  request(name: string, count: number): number {
    const limits = this.#limits.get(name as Incarnation)!;
    const arrivedAt = this.now;
    let waiting = count;
    let admitted = 0;
    while (waiting > 0) {
      const hurried = this.now - arrivedAt >= WAIT_MS;
      const verdicts = Array.from(
        { length: waiting },
        () => limits.take(CUSTOMER, { cost: COST, hurried }, this.#instant()),
      );
      admitted += verdicts.filter(({ kind }) => kind === "admitted").length;
      waiting = verdicts.filter(({ kind }) => kind === "unheard").length;
      if (waiting > 0) {
        this.#step();
      }
    }
    return admitted;
  }

  run(durationMs: number): void {
    for (const end = this.now + durationMs; this.now < end;) {
      this.#step();
    }
  }

  #step(): void {
    this.now += TICK_MS;
    this.#limits.forEach((limits) => limits.tick(this.#instant()));
    this.#deliver();
  }

  #deliver(): void {
    while (this.#queue.length > 0) {
      const queue = this.#queue;
      this.#queue = [];
      for (const { to, message } of queue) {
        if (!this.isLost(message)) {
          this.#limits.get(to)?.receive(message, this.#instant());
        }
      }
    }
  }

  #instant(): ReturnType<typeof instant> {
    return instant(this.now);
  }
}

function fleet(names: readonly string[], aggregator = names[0]!): Entries {
  const entries = new Entries(names);
  names.forEach((name) => entries.start(name, () => aggregator));
  entries.run(3_000);
  return entries;
}

describe("a burst that reaches several entries at once", () => {
  // Guards against entries that each admit a whole burst before they hear of each other.
  it("is admitted once", () => {
    for (const regions of [["a"], ["b"]]) {
      const model = new LimitModel({
        perSecond: BURST / 2,
        burst: BURST,
        entries: 8,
        seed: 1,
      });
      model.customer = CUSTOMER;
      model.run(3_000);
      for (let index = 0; index < 64; index++) {
        model.request({ region: regions[0]!, cost: COST });
      }
      model.run(400);
      expect(model.totalCost(0, Infinity, true)).toBeGreaterThanOrEqual(BURST);
      expect(model.totalCost(0, Infinity, true)).toBeLessThanOrEqual(
        BURST + COST,
      );
    }
  });

  // Guards against entries that each count themselves as the aggregator, shortly after they started.
  it("is admitted once where two entries count themselves as the aggregator", () => {
    const names = ["first", "second", "third"];
    const entries = new Entries(names);
    names.forEach((name) =>
      entries.start(name, () => name === "third" ? "first" : name)
    );
    entries.run(100);
    const admitted = names.map((name) => entries.request(name, 8));
    expect(admitted.reduce((sum, count) => sum + count)).toBeLessThanOrEqual(
      BURST / COST + names.length,
    );
  });
});

describe("a claim", () => {
  it("is granted as far as units are left, and the rest is refused", () => {
    const entries = fleet(["first", "second", "third"]);
    const admitted = ["second", "third", "first"].map((name) =>
      entries.request(name, 8)
    );
    expect(admitted[0]).toBe(BURST / COST);
    // A request is admitted while any units are left, so that one may exceed them.
    expect(admitted[1]! + admitted[2]!).toBeLessThanOrEqual(1);
  });

  it("costs one message where many requests wait", () => {
    const entries = fleet(["first", "second", "third"]);
    entries.sent.length = 0;
    entries.request("second", 64);
    expect(entries.sent.filter(({ kind }) => kind === "claim").length)
      .toBeLessThanOrEqual(2);
  });

  // Guards against a deduction that stays when the answer is lost: the customer was refused below its limit.
  it("is deducted only until the next report if its answer is lost", () => {
    const entries = fleet(["first", "second", "third"]);
    entries.isLost = ({ kind }) => kind === "answer";
    const admitted = entries.request("second", 3);
    entries.isLost = () => false;
    entries.run(200);
    expect(entries.request("third", 8)).toBeGreaterThanOrEqual(
      BURST / COST - admitted,
    );
  });

  // Guards against refusals while entries of an earlier version, which answer no claims, are the aggregator.
  it("that is never answered delays requests within the limit, but does not refuse them", () => {
    const entries = fleet(["first", "second", "third"]);
    entries.isLost = ({ kind }) => kind === "claim";
    for (let second = 0; second < 10; second++) {
      expect(entries.request("second", 1)).toBe(1);
      entries.run(1_000);
    }
    entries.sent.length = 0;
    entries.request("second", 3);
    entries.run(1_000);
    expect(entries.sent.filter(({ kind }) => kind === "claim").length)
      .toBeLessThanOrEqual(3);
  });

  it("names its customers once its time is over, so that they are reported again", () => {
    const claims = new LimitClaims();
    claims.want(CUSTOMER.id, COST);
    const { units } = claims.open(instant(0))!;
    expect(units).toEqual([{ customer: CUSTOMER.id, units: COST }]);
    expect(claims.settle(instant(25))).toEqual([]);
    expect(claims.isOpen).toBe(true);
    expect(claims.settle(instant(50))).toEqual([CUSTOMER.id]);
    expect(claims.isOpen).toBe(false);
    expect(claims.grant(1, units)).toBe(false);
  });

  it("is given up if the aggregator changes", () => {
    const names = ["first", "second", "third"];
    let aggregator = "first";
    const entries = new Entries(names);
    names.forEach((name) => entries.start(name, () => aggregator));
    entries.run(3_000);
    entries.isLost = ({ kind }) => kind === "answer";
    entries.request("third", 1);
    entries.isLost = () => false;
    aggregator = "second";
    entries.run(3_000);
    expect(entries.request("third", 8)).toBe(BURST / COST);
  });
});
