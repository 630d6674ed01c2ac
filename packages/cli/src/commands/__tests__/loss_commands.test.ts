import { describe, expect, it } from "vitest";
import { summarizeLosses } from "../loss_commands.ts";

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

describe("summarizeLosses", () => {
  it("counts losses by cause, reason and route, most frequent first", () => {
    const { rows, lines } = summarizeLosses([
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

  it("counts losses by customer, with their causes", () => {
    const { customers } = summarizeLosses([
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

  it("counts losses by region and second", () => {
    const { regions, seconds } = summarizeLosses([
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

  // A log collector mixes lines of several programs, cuts some off and prefixes others. A parser that expects each
  // line to be valid would fail on the first such line and hide all others.
  it("ignores other lines, and prefixes of lines", () => {
    const { lines } = summarizeLosses([
      "",
      '{"msg":"stop: Listening."}',
      '{"cause":"starved","rou',
      "no JSON { at all",
      `  12.5 entry-1 ${line({})}`,
    ]);
    expect(lines).toBe(1);
  });
});
