import { beforeEach, describe, expect, it } from "vitest";
import { instant, RegionOutlooks } from "../../index.ts";
import { NORTH, POOL, regionOutlook, SOUTH } from "./outlook_fixture.ts";

describe("outlooks of other regions", () => {
  let outlooks: RegionOutlooks;
  const spareAt = (time: number): number | undefined =>
    outlooks.of(SOUTH, POOL, instant(time))?.spareTokensPerSecond;

  beforeEach(() => {
    outlooks = new RegionOutlooks(NORTH);
    outlooks.update(regionOutlook(SOUTH, { age: 100, spare: 7 }), instant(100));
  });

  /** Guards against acting on what a region told before it fell silent or was cut off. */
  it("count less with their age, then not at all", () => {
    const weightAt = (time: number): number | undefined =>
      outlooks.of(SOUTH, POOL, instant(time))?.weight;
    expect(weightAt(600)).toBe(1);
    expect(weightAt(1_050)).toBeCloseTo(0.5);
    expect(weightAt(1_500)).toBe(0);
    expect(weightAt(1_501)).toBeUndefined();
  });

  /** Guards against an outlook that was passed on late in place of a newer one. */
  it("are not replaced by older ones", () => {
    outlooks.update(regionOutlook(SOUTH, { age: 400, spare: 9 }), instant(300));
    expect(spareAt(300)).toBe(7);
    outlooks.update(regionOutlook(SOUTH, { age: 50, spare: 9 }), instant(300));
    expect(spareAt(300)).toBe(9);
  });

  /** Guards against a false age from the future, with which no later outlook would count as newer. */
  it("are not kept longer because of an age below zero", () => {
    const future = regionOutlook(SOUTH, { age: -60_000, spare: 9 });
    outlooks.update(future, instant(300));
    expect(spareAt(300)).toBe(9);
    outlooks.update(regionOutlook(SOUTH, { spare: 8 }), instant(400));
    expect(spareAt(400)).toBe(8);
  });

  it("of the own region are ignored", () => {
    outlooks.update(regionOutlook(NORTH), instant(200));
    expect(outlooks.of(NORTH, POOL, instant(200))).toBeUndefined();
  });
});
