import { describe, expect, it } from "vitest";
import type { RegionId } from "../../index.ts";
import { type SubjectRegion, subjectRegion } from "../subject_region.ts";

function view(
  region: string,
  engines: number,
  utilization = 0.3,
): SubjectRegion {
  return { region: region as RegionId, engines, utilization };
}

const SUBJECTS = Array.from({ length: 600 }, (_, index) => `s${index}`);

/** The region that reads a subject, as an entry of `own` sees it. */
function reader(
  subject: string,
  own: SubjectRegion,
  all: readonly SubjectRegion[],
): string {
  const others = all.filter(({ region }) => region !== own.region);
  return subjectRegion(subject, own, others) ?? own.region;
}

describe("the region that reads a subject", () => {
  const all = [view("a", 6), view("b", 4), view("c", 2)];

  /**
   * Symptom: engines read a fifth of all shared tokens again within seconds.
   * Sequence: callers of one subject are spread over regions, and each region reads it.
   * Cause: regions chose by caller, and no region knows what another keeps.
   */
  it("is the same in all regions' views", () => {
    for (const subject of SUBJECTS) {
      const seen = new Set(all.map((own) => reader(subject, own, all)));
      expect(seen.size).toBe(1);
    }
  });

  it("gets a part of all subjects by its engines", () => {
    const count = (region: string): number =>
      SUBJECTS.filter((subject) => reader(subject, all[0]!, all) === region)
        .length / SUBJECTS.length;
    expect(count("a")).toBeCloseTo(0.5, 1);
    expect(count("b")).toBeCloseTo(0.33, 1);
    expect(count("c")).toBeCloseTo(0.17, 1);
  });

  it("keeps most of its subjects when another region loses its engines", () => {
    const without = [all[0]!, all[1]!, view("c", 0)];
    const moved = SUBJECTS.filter((subject) =>
      reader(subject, all[0]!, all) !== "c" &&
      reader(subject, all[0]!, all) !== reader(subject, all[0]!, without)
    );
    expect(moved).toEqual([]);
    expect(
      SUBJECTS.some((subject) => reader(subject, all[0]!, without) === "c"),
    ).toBe(false);
  });

  it("takes nothing while it is much busier than the caller's own", () => {
    const busy = [view("a", 6, 0.4), view("b", 4, 0.9)];
    expect(SUBJECTS.some((subject) => reader(subject, busy[0]!, busy) === "b"))
      .toBe(false);
    const both = [view("a", 6, 0.9), view("b", 4, 0.9)];
    expect(SUBJECTS.some((subject) => reader(subject, both[0]!, both) === "b"))
      .toBe(true);
  });
});
