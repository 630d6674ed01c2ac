import { describe, expect, it } from "vitest";
import { instant } from "../../index.ts";
import { LineTally } from "../line_tally.ts";

describe("a tally of events", () => {
  it("has a line for the first and then for all that came in a pause", () => {
    const tally = new LineTally();
    const lines = [0, 10, 9_999, 10_000, 10_001, 25_000].map((at) =>
      tally.add(instant(at))
    );
    expect(lines).toEqual([1, 0, 0, 3, 0, 2]);
    expect(tally.count).toBe(6);
  });
});
