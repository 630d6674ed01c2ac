import { describe, expect, it } from "vitest";
import type { RegionId } from "../../index.ts";
import {
  chooseSubjectRegion,
  type RegionCandidate,
} from "../subject_region.ts";

function view(
  region: string,
  engines: number,
  utilization = 0.3,
): RegionCandidate {
  return { region: region as RegionId, engines, utilization };
}

const SUBJECTS = Array.from({ length: 600 }, (_, index) => `s${index}`);

/** The region that prefills a subject, as an entry of `own` sees it. */
function prefillRegion(
  subject: string,
  own: RegionCandidate,
  all: readonly RegionCandidate[],
): string {
  const others = all.filter(({ region }) => region !== own.region);
  return chooseSubjectRegion(subject, own, others) ?? own.region;
}

describe("the region that prefills a subject", () => {
  const all = [view("a", 6), view("b", 4), view("c", 2)];

  // Guards against repeated prefill of shared tokens: a fifth of them were prefilled again within seconds.
  // Callers of one subject are spread over regions, and no region knows what another has cached.
  it("is the same in all regions' views", () => {
    for (const subject of SUBJECTS) {
      const seen = new Set(all.map((own) => prefillRegion(subject, own, all)));
      expect(seen.size).toBe(1);
    }
  });

  it("gets a share of all subjects in proportion to its engines", () => {
    const count = (region: string): number =>
      SUBJECTS.filter((subject) =>
        prefillRegion(subject, all[0]!, all) === region
      )
        .length / SUBJECTS.length;
    expect(count("a")).toBeCloseTo(0.5, 1);
    expect(count("b")).toBeCloseTo(0.33, 1);
    expect(count("c")).toBeCloseTo(0.17, 1);
  });

  it("keeps most of its subjects when another region loses its engines", () => {
    const withoutEngines = [all[0]!, all[1]!, view("c", 0)];
    const moved = SUBJECTS.filter((subject) =>
      prefillRegion(subject, all[0]!, all) !== "c" &&
      prefillRegion(subject, all[0]!, all) !==
        prefillRegion(subject, all[0]!, withoutEngines)
    );
    expect(moved).toEqual([]);
    expect(
      SUBJECTS.some((subject) =>
        prefillRegion(subject, all[0]!, withoutEngines) === "c"
      ),
    ).toBe(false);
  });

  it("takes no subjects while it is much busier than the request's own region", () => {
    const busy = [view("a", 6, 0.4), view("b", 4, 0.9)];
    expect(
      SUBJECTS.some((subject) =>
        prefillRegion(subject, busy[0]!, busy) === "b"
      ),
    )
      .toBe(false);
    const both = [view("a", 6, 0.9), view("b", 4, 0.9)];
    expect(
      SUBJECTS.some((subject) =>
        prefillRegion(subject, both[0]!, both) === "b"
      ),
    )
      .toBe(true);
  });
});
