import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { MAX_YIELD_MS } from "../index.ts";
import {
  type Faults,
  RUN_MS,
  SharedRegion,
  SLOTS,
  type Traffic,
} from "./shared_region.ts";

const FROM = 1_000;
const TO = 6_000;
const PER_SECOND = SLOTS * 1_000 / RUN_MS;
const CALM = ["a", "b", "c", "d", "e"];

/** Customers that ask for half of their shares, and one that asks for more than all endpoints serve. */
function traffic(limit = 10_000): Traffic[] {
  const share = PER_SECOND / (CALM.length + 1);
  return [
    ...CALM.map((name) => ({ name, limit, rate: () => share / 2 })),
    { name: "loud", limit, rate: () => 1.5 * PER_SECOND },
  ];
}

function play(
  { seed = 1, entries = 8, faults = {}, customers = traffic(), from = FROM }: {
    seed?: number;
    entries?: number;
    faults?: Faults;
    customers?: readonly Traffic[];
    from?: number;
  },
): SharedRegion {
  const region = new SharedRegion({
    entries,
    seed,
    traffic: customers,
    faults,
  });
  region.run({ from, to: TO });
  return region;
}

/** Part of the requests of the customers within their shares that were placed, of the one that got least. */
function leastServed(region: SharedRegion): number {
  return Math.min(...CALM.map((name) => {
    const { sent, placed } = region.fates.get(name)!;
    return sent === 0 ? 1 : placed / sent;
  }));
}

describe("customers of a region with several entries", () => {
  /** Guards against the loudest customer being served like all others together. */
  it("are starved by a loud one without shares", () => {
    expect(leastServed(play({ faults: { isOn: false } }))).toBeLessThan(0.7);
  });

  it("aren't starved within their shares, whatever is lost or late", () => {
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.integer({ min: 1, max: 10_000 }),
          entries: fc.integer({ min: 1, max: 16 }),
          delayMs: fc.integer({ min: 0, max: 150 }),
          loss: fc.double({ min: 0, max: 0.3, noNaN: true }),
        }),
        ({ seed, entries, delayMs, loss }) => {
          const region = play({ seed, entries, faults: { delayMs, loss } });
          expect(leastServed(region)).toBeGreaterThan(0.95);
        },
      ),
      { numRuns: 10, seed: 7 },
    );
  }, 90_000);

  /** Guards against endpoints that idle while their slots are kept for others. */
  it("leave no slot free for longer than a request yields", () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 10_000 }), (seed) => {
        expect(play({ seed }).idleMs).toBeLessThanOrEqual(MAX_YIELD_MS);
      }),
      { numRuns: 5, seed: 7 },
    );
  });

  /** Guards against a customer that is held to its share while nobody else has requests. */
  it("get all if nobody else has requests", () => {
    const loud = traffic().filter(({ name }) => name === "loud");
    const region = play({ customers: loud });
    expect(region.idleMs).toBe(0);
    expect(region.fates.get("loud")!.placed).toBeGreaterThan(0);
  });

  /** Guards against decisions that need reports from the whole region. */
  it("aren't starved while the region is cut in halves", () => {
    const isCut = (from: number, to: number, now: number): boolean =>
      now >= 2_000 && now < 5_000 && (from < 4) !== (to < 4);
    expect(leastServed(play({ faults: { isCut } }))).toBeGreaterThan(0.95);
  });

  /** Guards against an entry that hears nobody, but is heard by all, and serves a loud customer alone. */
  it("aren't starved while one entry hears nobody", () => {
    const isCut = (_from: number, to: number): boolean => to === 0;
    expect(leastServed(play({ faults: { isCut } }))).toBeGreaterThan(0.95);
  });

  /** Guards against an entry of an earlier build, or a paused one, that never reports. */
  it("aren't starved while one entry says nothing", () => {
    const isCut = (from: number): boolean => from === 0;
    expect(leastServed(play({ faults: { isCut } }))).toBeGreaterThan(0.95);
  });

  /** Guards against shares that are wrong until what was placed before a restart of all entries is known again. */
  it("aren't starved after a restart of all entries", () => {
    const region = play({ faults: { restartAt: 3_000 }, from: 3_025 });
    expect(leastServed(region)).toBeGreaterThan(0.95);
  });

  /** Guards against a customer that gets nothing, or all, for being new in a peak. */
  it("aren't starved by one that appears and goes in a peak", () => {
    const customers = traffic().map((customer) =>
      customer.name === "loud"
        ? {
          ...customer,
          rate: (now: number) =>
            now >= 2_000 && now < 4_000 ? 4 * PER_SECOND : 0,
        }
        : customer
    );
    const region = play({ customers });
    expect(leastServed(region)).toBeGreaterThan(0.95);
    expect(region.fates.get("loud")!.placed).toBeGreaterThan(PER_SECOND);
  });

  /** Guards against one whose limit is zero, and who then waits for ever although there is room. */
  it("are served with a limit of zero where others leave room", () => {
    const customers = traffic().map((customer) =>
      customer.name === "loud" ? { ...customer, limit: 0 } : customer
    );
    const region = play({ customers });
    expect(leastServed(region)).toBeGreaterThan(0.95);
    expect(region.fates.get("loud")!.placed).toBeGreaterThan(PER_SECOND);
  });
});
