import { describe, expect, it } from "vitest";
import type { EntryRecord } from "../../fleet/index.ts";
import {
  MIN_SERVING_PER_ZONE,
  servingByZone,
  servingInZone,
} from "../serving_set.ts";

function entry(id: string, weight: number, zone = "z1"): EntryRecord {
  return { id, incarnation: `${id}-1`, weight, zone, region: "r" } as never;
}

const SMALL = Array.from(
  { length: 30 },
  (_, index) => entry(`small-${index}`, 0.324),
);
const LARGE = [entry("large-0", 1.35), entry("large-1", 1.35)];
const ALL = [...SMALL, ...LARGE];

function names(records: readonly EntryRecord[]): string[] {
  return records.map(({ id }) => id);
}

describe("the serving entries", () => {
  // Guards against callers that are spread over more entries than needed. Each entry sends to all engines
  // of the region and hears of the others' work with a delay: the same load earned far less of the
  // total request value with 65 entries per region than with four.
  it("are few while few are needed, the heaviest first", () => {
    const serving = names(servingInZone(ALL, 60));
    expect(serving.length).toBe(MIN_SERVING_PER_ZONE);
    expect(serving.slice(0, 2).sort()).toEqual(["large-0", "large-1"]);
  });

  it("are as many as the requests need", () => {
    const totalWeight = servingInZone(ALL, 300).reduce(
      (sum, { weight }) => sum + weight,
      0,
    );
    expect(totalWeight).toBeGreaterThanOrEqual(5);
    expect(totalWeight).toBeLessThan(5.4);
    expect(servingInZone(ALL, 100_000).length).toBe(ALL.length);
  });

  it("do not depend on the order of the entries", () => {
    expect(names(servingInZone([...ALL].reverse(), 100)))
      .toEqual(names(servingInZone(ALL, 100)));
  });

  it("are followed by the next in rank when one is gone", () => {
    const before = names(servingInZone(ALL, 60));
    const remaining = ALL.filter(({ id }) => id !== before[0]);
    const after = names(servingInZone(remaining, 60));
    expect(after.slice(0, -1)).toEqual(before.slice(1));
    expect(after.length).toBe(before.length);
  });

  it("keep their rank when they restart", () => {
    const restarted = ALL.map((record) => ({
      ...record,
      incarnation: `${record.id}-2`,
    })) as never as EntryRecord[];
    expect(names(servingInZone(restarted, 60))).toEqual(
      names(servingInZone(ALL, 60)),
    );
  });

  it("are all entries if there are few", () => {
    const few = SMALL.slice(0, 3);
    expect(servingInZone(few, 0).length).toBe(3);
  });

  it("are selected in each zone", () => {
    const zones = [...ALL, ...ALL.map((record) => ({ ...record, zone: "z2" }))];
    const serving = servingByZone(zones as never, 120);
    expect(serving.filter(({ zone }) => zone === "z1").length)
      .toBe(MIN_SERVING_PER_ZONE);
    expect(serving.filter(({ zone }) => zone === "z2").length)
      .toBe(MIN_SERVING_PER_ZONE);
  });
});
