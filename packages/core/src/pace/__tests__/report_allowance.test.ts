import { describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { ReportAllowance } from "../index.ts";

/** Figures that one of `entries` passes on in `seconds` with a report each 200 ms, if there is always more to tell. */
function toldIn(seconds: number, entries: number): number {
  const allowance = new ReportAllowance();
  let told = 0;
  for (let at = 0; at < seconds * 1_000; at += 200) {
    const figures = allowance.available(entries, instant(at));
    expect(figures).toBeLessThanOrEqual(16);
    allowance.spend(figures);
    told += figures;
  }
  return told;
}

describe("the allowance for figures of contention", () => {
  // Guards against control traffic that grows with the product of entries and endpoints.
  it.each([1, 4, 24])(
    "bounds what a region of %i entries passes on",
    (entries) => {
      const perSecond = entries * (toldIn(60, entries) - 16) / 60;
      expect(perSecond).toBeLessThanOrEqual(40);
      expect(perSecond).toBeGreaterThan(30);
    },
  );

  // Guards against a burst of old figures after a pause of the process.
  it("doesn't pile up while nothing is told", () => {
    const allowance = new ReportAllowance();
    allowance.available(1, instant(0));
    expect(allowance.available(1, instant(60_000))).toBe(16);
  });
});
