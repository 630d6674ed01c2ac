import { describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { RegionRate } from "../index.ts";

const PERIOD_MS = 200;

/** Observes a constant rate for some seconds, and returns the time after it. */
function observe(
  rate: RegionRate,
  { from, seconds, placed, waiting }: {
    from: number;
    seconds: number;
    placed: number;
    waiting: number;
  },
): number {
  const end = from + seconds * 1_000;
  for (let at = from; at < end; at += PERIOD_MS) {
    rate.observe({ placed, waiting }, instant(at));
  }
  return end;
}

describe("the rate of a region", () => {
  it("is unknown before there has been contention for a while", () => {
    const rate = new RegionRate();
    const end = observe(rate, {
      from: 0,
      seconds: 5,
      placed: 10_000,
      waiting: 0,
    });
    expect(rate.perMs(instant(end))).toBeUndefined();
    rate.observe({ placed: 10_000, waiting: 50_000 }, instant(end));
    expect(rate.perMs(instant(end))).toBeUndefined();
  });

  it("is what is placed while work waits, smoothed", () => {
    const rate = new RegionRate();
    let end = observe(rate, {
      from: 0,
      seconds: 3,
      placed: 10_000,
      waiting: 50_000,
    });
    expect(rate.perMs(instant(end))).toBeCloseTo(10);
    end = observe(rate, {
      from: end,
      seconds: 1,
      placed: 20_000,
      waiting: 50_000,
    });
    expect(rate.perMs(instant(end))).toBeGreaterThan(13);
    expect(rate.perMs(instant(end))).toBeLessThan(18);
  });

  /** Guards against refusals after a quiet time, in which little was placed because little came. */
  it("does not fall while nothing waits", () => {
    const rate = new RegionRate();
    const busy = { from: 0, seconds: 3, placed: 10_000, waiting: 50_000 };
    const end = observe(rate, {
      from: observe(rate, busy),
      seconds: 3,
      placed: 100,
      waiting: 0,
    });
    expect(rate.perMs(instant(end))).toBeCloseTo(10);
  });

  /** Guards against an endpoint pool that looks slow because requests wait for a moment while little comes. */
  it("does not fall while hardly anything waits", () => {
    const rate = new RegionRate();
    const end = observe(rate, {
      from: observe(rate, {
        from: 0,
        seconds: 3,
        placed: 10_000,
        waiting: 50_000,
      }),
      seconds: 3,
      placed: 2_000,
      waiting: 1_000,
    });
    expect(rate.perMs(instant(end))).toBeCloseTo(10);
  });

  it("is forgotten after a while, since endpoints come and go", () => {
    const rate = new RegionRate();
    const end = observe(rate, {
      from: 0,
      seconds: 3,
      placed: 10_000,
      waiting: 50_000,
    });
    expect(rate.perMs(instant(end + 60_000))).toBeUndefined();
  });
});
