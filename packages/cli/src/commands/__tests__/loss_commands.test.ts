import { describe, expect, it } from "vitest";
import { sumLosses } from "../loss_commands.ts";

function line(fields: Record<string, unknown>): string {
  return JSON.stringify({
    time: 1_000,
    region: "north",
    route: "digest",
    call: "c1",
    msg: "call: Caller left.",
    cause: "starved",
    ...fields,
  });
}

describe("losses", () => {
  it("are added up by cause, reason and route, the most first", () => {
    const { rows, lines } = sumLosses([
      line({ cause: "refused", reason: "overloaded" }),
      line({ sentMs: 100 }),
      line({ sentMs: 300, call: "c2" }),
    ]);
    expect(lines).toBe(3);
    expect(rows).toEqual([
      {
        cause: "starved",
        reason: "",
        route: "digest",
        count: 2,
        sentAfterMs: 200,
        examples: ["c1", "c2"],
      },
      {
        cause: "refused",
        reason: "overloaded",
        route: "digest",
        count: 1,
        sentAfterMs: undefined,
        examples: ["c1"],
      },
    ]);
  });

  it("are counted by customer, with what they were lost to", () => {
    const { customers } = sumLosses([
      line({ customer: "clinic", cause: "refused", reason: "over_limit" }),
      line({ customer: "clinic" }),
      line({ customer: "clinic" }),
      line({ customer: "lawyers" }),
      line({}),
    ]);
    expect(customers).toEqual([
      { customer: "clinic", count: 3, causes: ["starved 2", "over_limit 1"] },
      { customer: "lawyers", count: 1, causes: ["starved 1"] },
    ]);
  });

  it("are counted by region and second", () => {
    const { regions, seconds } = sumLosses([
      line({ time: 1_100 }),
      line({ time: 1_900, region: "south" }),
      line({ time: 5_000 }),
    ]);
    expect(regions).toEqual({ north: 2, south: 1 });
    expect(seconds).toEqual([
      { second: "1970-01-01T00:00:01", count: 2 },
      { second: "1970-01-01T00:00:05", count: 1 },
    ]);
  });

  /**
   * Symptom: one torn line of a collector hides all others.
   * Sequence: lines of several programs, some cut off, some with a prefix, are read together.
   * Cause: a reader that takes each line for one of its own.
   */
  it("pass over what is no such line, and what stands before one", () => {
    const { lines } = sumLosses([
      "",
      '{"msg":"stop: Listening."}',
      '{"cause":"starved","rou',
      "no JSON { at all",
      `  12.5 entry-1 ${line({})}`,
    ]);
    expect(lines).toBe(1);
  });
});
