import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { fairLevel } from "../index.ts";

const demands = fc.array(
  fc.record({
    demand: fc.double({ min: 0, max: 1e6, noNaN: true }),
    weight: fc.double({ min: 0.01, max: 1e5, noNaN: true }),
  }),
  { minLength: 1, maxLength: 20 },
);

describe("the fair level", () => {
  it("is without bound while there is enough for all", () => {
    expect(fairLevel([{ demand: 5, weight: 1 }], 5)).toBe(Infinity);
    expect(fairLevel([], 5)).toBe(Infinity);
  });

  it("gives what small customers leave to the others by weight", () => {
    const level = fairLevel([
      { demand: 1, weight: 1 },
      { demand: 100, weight: 1 },
      { demand: 100, weight: 2 },
    ], 10);
    expect(level).toBe(3);
  });

  it("uses up the capacity, and nobody below the level gets less than it asks for", () => {
    fc.assert(fc.property(
      demands,
      fc.double({ min: 1, max: 1e6, noNaN: true }),
      (items, capacity) => {
        const level = fairLevel(items, capacity);
        const asked = items.reduce((sum, { demand }) => sum + demand, 0);
        const given = items.reduce(
          (sum, { demand, weight }) => sum + Math.min(demand, weight * level),
          0,
        );
        const possible = Math.min(asked, capacity);
        expect(Math.abs(given - possible)).toBeLessThanOrEqual(
          possible * 1e-6,
        );
      },
    ));
  });
});
