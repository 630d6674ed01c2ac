import { describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  instant,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import { findCrashingSubjects, type ObservedCrash } from "../crash_analysis.ts";

interface CrashSketch {
  readonly at: number;
  /** Exposure in milliseconds of each request. Names may have the form `content/caller`. */
  readonly requests: Readonly<Record<string, number>>;
  readonly zone?: string;
  readonly otherEndpoints?: number;
  readonly trials?: readonly string[];
}

function crash(
  { at, requests, zone = "z", otherEndpoints = 5, trials = [] }: CrashSketch,
): ObservedCrash {
  const byContent: ObservedCrash["present"] = new Map();
  for (const [name, exposure] of Object.entries(requests)) {
    const [content, caller = "c"] = name.split("/") as [
      ContentDigest,
      CallerDigest?,
    ];
    const callers = byContent.get(content) ?? new Map();
    byContent.set(content, callers.set(caller as CallerDigest, exposure));
  }
  return {
    service: "pool" as ServiceId,
    zone: zone as ZoneId,
    softwareVersion: "v1",
    at: instant(at),
    reportedAt: instant(at),
    otherEndpoints,
    present: byContent,
    trials: new Set(trials as ContentDigest[]),
  };
}

const find = (...sketches: CrashSketch[]): string[] => {
  const crashes = sketches.map(crash);
  return findCrashingSubjects({ requests: crashes, parts: crashes }).map((
    { subject, caller },
  ) => caller === undefined ? subject : `${subject}/${caller}`);
};

describe("the request that crashes endpoints", () => {
  it("is the one present at every crash, the last time as a trial", () => {
    expect(find(
      { at: 0, requests: { bad: 100, a: 900, b: 300 } },
      { at: 400, requests: { bad: 120, a: 120, c: 50 } },
      { at: 900, requests: { bad: 90, d: 4_000 } },
      { at: 2_500, requests: { bad: 110, e: 800 }, trials: ["bad"] },
    )).toEqual(["bad/c"]);
  });

  it("is identified by its content if several callers send it", () => {
    expect(find(
      { at: 0, requests: { "bad/one": 100 } },
      { at: 4_000, requests: { "bad/two": 100 } },
      { at: 8_000, requests: { "bad/three": 100 }, trials: ["bad"] },
    )).toEqual(["bad"]);
  });

  it("is found even if another request crashes endpoints too", () => {
    expect(
      find(
        { at: 0, requests: { bad: 100, a: 500 } },
        { at: 300, requests: { worse: 60, a: 300 }, zone: "y" },
        { at: 3_000, requests: { bad: 100, b: 50 } },
        { at: 3_300, requests: { worse: 60, b: 200 }, zone: "y" },
        { at: 9_000, requests: { bad: 100 }, trials: ["bad"] },
        { at: 9_300, requests: { worse: 60 }, zone: "y", trials: ["worse"] },
      ).sort(),
    ).toEqual(["bad/c", "worse/c"]);
  });

  describe("is not one that", () => {
    it("was present at two crashes only, however short its exposure", () => {
      expect(find(
        { at: 0, requests: { a: 1 } },
        { at: 9_000, requests: { a: 1 }, trials: ["a"] },
      )).toEqual([]);
    });

    it("was present at three crashes in a series because it was sent on each time", () => {
      expect(find(
        { at: 0, requests: { a: 300 } },
        { at: 300, requests: { a: 300 } },
        { at: 600, requests: { a: 300 } },
      )).toEqual([]);
    });

    it("was present at the same crashes as another request, since either may be the cause", () => {
      expect(find(
        { at: 0, requests: { a: 100, b: 100 } },
        { at: 3_000, requests: { a: 100, b: 100 } },
        { at: 6_000, requests: { a: 100, b: 100 }, trials: ["a", "b"] },
        { at: 9_000, requests: { a: 100, b: 100 }, trials: ["a", "b"] },
      )).toEqual([]);
    });

    it("was present at endpoints of a zone that crashed simultaneously", () => {
      expect(find(
        { at: 0, requests: { a: 100 }, otherEndpoints: 2 },
        { at: 50, requests: { a: 100 }, otherEndpoints: 1 },
        { at: 90, requests: { a: 100 }, otherEndpoints: 0 },
        { at: 120, requests: { a: 100 }, otherEndpoints: 0, trials: ["a"] },
      )).toEqual([]);
    });

    it("ran for seconds at each endpoint while others crashed", () => {
      expect(find(
        ...[0, 1, 2, 3, 4, 5].map((index) => ({
          at: index * 1_500,
          requests: index % 2 === 0 ? { a: 2_500 } : { b: 2_500 },
          trials: ["a"],
        })),
      )).toEqual([]);
    });
  });
});

describe("the part that crashes endpoints", () => {
  it("is the one that requests of which no two are alike have in common", () => {
    expect(find(
      { at: 0, requests: { r1: 100, "p:bad/": 100, "p:first/": 900 } },
      {
        at: 2_000,
        requests: { r2: 90, "p:bad/": 90, "p:near/": 90 },
        trials: ["p:bad"],
      },
      {
        at: 4_000,
        requests: { r3: 80, "p:bad/": 80, "p:near/": 80 },
        trials: ["p:bad", "p:near"],
      },
    )).toEqual(["p:bad"]);
  });

  it("is held after four trials if other suspects were tried with it each time", () => {
    const crashes = [1, 2, 3, 4].map((index) => ({
      at: index * 3_000,
      requests: { "p:bad/": 90, [`p:near${index}/`]: 90 },
      trials: ["p:bad", `p:near${index}`],
    }));
    expect(find(...crashes.slice(0, 3))).toEqual([]);
    expect(find(...crashes)).toEqual(["p:bad"]);
  });

  it("is held together with what it always came with", () => {
    const requests = { "p:bad/": 90, "p:near/": 90 };
    const trials = ["p:bad", "p:near"];
    expect(find(
      { at: 0, requests },
      { at: 2_000, requests, trials },
      { at: 4_000, requests, trials },
    )).toEqual(["p:bad+near"]);
  });

  it("is not held for a request that comes again and again", () => {
    const requests = { r1: 100, "p:bad/": 100 };
    expect(find(
      { at: 0, requests },
      { at: 3_000, requests },
      { at: 6_000, requests, trials: ["r1", "p:bad"] },
    )).toEqual(["r1/c"]);
  });

  describe("is not one that", () => {
    it("was not tried together with what it always came with", () => {
      const requests = { "p:bad/": 90, "p:near/": 90 };
      expect(find(
        { at: 0, requests },
        { at: 2_000, requests, trials: ["p:bad", "p:near"] },
        { at: 4_000, requests, trials: ["p:near"] },
      )).toEqual([]);
    });

    it("was tried once only, since one of many parts meets a trial by chance", () => {
      expect(find(
        { at: 0, requests: { "p:bad/": 60 } },
        { at: 3_000, requests: { "p:bad/": 60 } },
        { at: 6_000, requests: { "p:bad/": 60 }, trials: ["p:bad"] },
      )).toEqual([]);
    });

    it("was tried once where another part was at all of its crashes", () => {
      expect(find(
        { at: 0, requests: { "p:bad/": 60, "p:tip/": 60 } },
        { at: 400, requests: { "p:bad/": 60, "p:tip/": 60 } },
        { at: 900, requests: { "p:bad/": 60, "p:tip/": 60 } },
        {
          at: 7_000,
          requests: { "p:bad/": 60, "p:tip/": 70 },
          trials: ["p:tip"],
        },
      )).toEqual([]);
    });
  });
});
