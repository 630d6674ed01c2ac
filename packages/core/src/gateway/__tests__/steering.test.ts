import { describe, expect, it } from "vitest";
import type { RegionShare } from "../../fleet/index.ts";
import type { RegionId } from "../../index.ts";
import {
  chooseShares,
  estimateDemand,
  MIN_STEERING_UTILIZATION,
  type RegionLoad,
  shareOf,
  smoothShares,
} from "../steering.ts";

const [A, B, C] = ["a", "b", "c"] as RegionId[];

function load(
  region: RegionId | undefined,
  { capacity, arrivals, shares = [] }: {
    capacity: number;
    arrivals: number;
    shares?: RegionShare[];
  },
): RegionLoad {
  return { region: region!, capacity, arrivals, shares };
}

describe("steering", () => {
  it("solves for demand from arrivals and current shares", () => {
    const demand = estimateDemand([
      load(A, {
        capacity: 1,
        arrivals: 500,
        shares: [{ region: B!, share: 0.5 }],
      }),
      load(B, { capacity: 1, arrivals: 600 }),
    ]);
    expect(demand.get(A!)).toBeCloseTo(1_000);
    expect(demand.get(B!)).toBeCloseTo(100);
  });

  it("keeps all callers while the region's utilization is low", () => {
    const capacity = 1_000;
    const arrivals = capacity * MIN_STEERING_UTILIZATION * 0.9;
    expect(chooseShares(A!, [
      load(A, { capacity, arrivals }),
      load(B, { capacity, arrivals: 0 }),
    ])).toEqual([]);
  });

  it("sends a region's peak to regions with spare capacity", () => {
    const shares = chooseShares(A!, [
      load(A, { capacity: 1_000, arrivals: 2_000 }),
      load(B, { capacity: 2_000, arrivals: 100 }),
      load(C, { capacity: 1_000, arrivals: 900 }),
    ]);
    expect(shareOf(shares, B!)).toBeGreaterThan(0.4);
    expect(shareOf(shares, C!)).toBeLessThan(0.1);
  });

  it("sends all callers away if a region has no capacity", () => {
    const shares = chooseShares(A!, [
      load(A, { capacity: 0, arrivals: 100 }),
      load(B, { capacity: 1_000, arrivals: 100 }),
    ]);
    expect(shareOf(shares, B!)).toBeCloseTo(1);
  });

  // Guards against callers that are sent away and called back every second. A region that sends half of
  // its callers away looks idle if the shares are chosen from its arrivals instead of its demand.
  it("converges while demand is constant", () => {
    const demand = { a: 2_000, b: 200 };
    let shares: RegionShare[] = [];
    const seen: number[] = [];
    for (let round = 0; round < 30; round++) {
      const away = shareOf(shares, B!);
      const regions = [
        load(A, { capacity: 1_000, arrivals: demand.a * (1 - away), shares }),
        load(B, { capacity: 1_500, arrivals: demand.b + demand.a * away }),
      ];
      shares = smoothShares(shares, chooseShares(A!, regions));
      seen.push(shareOf(shares, B!));
    }
    const last = seen.slice(-5);
    expect(Math.max(...last) - Math.min(...last)).toBeLessThan(0.01);
    expect(last[0]).toBeGreaterThan(0.5);
    expect(last[0]).toBeLessThan(0.62);
  });
});
