import { describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  instant,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import { findCulprits, type KnownEnd } from "../crash_evidence.ts";

interface Sketch {
  readonly at: number;
  /** Milliseconds from each request's sending to the end; after a slash its caller. */
  readonly there: Readonly<Record<string, number>>;
  readonly zone?: string;
  readonly others?: number;
  readonly trials?: readonly string[];
}

function end(
  { at, there, zone = "z", others = 5, trials = [] }: Sketch,
): KnownEnd {
  const victims: KnownEnd["victims"] = new Map();
  for (const [name, exposure] of Object.entries(there)) {
    const [content, caller = "c"] = name.split("/") as [
      ContentDigest,
      CallerDigest?,
    ];
    const callers = victims.get(content) ?? new Map();
    victims.set(content, callers.set(caller as CallerDigest, exposure));
  }
  return {
    service: "pool" as ServiceId,
    zone: zone as ZoneId,
    softwareVersion: "v1",
    at: instant(at),
    others,
    victims,
    trials: new Set(trials as ContentDigest[]),
  };
}

const found = (...ends: Sketch[]): string[] =>
  findCulprits(ends.map(end)).map(({ content, caller }) =>
    caller === undefined ? content : `${content}/${caller}`
  );

describe("the request that ended endpoints", () => {
  it("is the one at every end, the last time by itself", () => {
    expect(found(
      { at: 0, there: { bad: 100, a: 900, b: 300 } },
      { at: 400, there: { bad: 120, a: 120, c: 50 } },
      { at: 900, there: { bad: 90, d: 4_000 } },
      { at: 2_500, there: { bad: 110, e: 800 }, trials: ["bad"] },
    )).toEqual(["bad/c"]);
  });

  it("is known by what it asks for where several callers send it", () => {
    expect(found(
      { at: 0, there: { "bad/one": 100 } },
      { at: 4_000, there: { "bad/two": 100 } },
      { at: 8_000, there: { "bad/three": 100 }, trials: ["bad"] },
    )).toEqual(["bad"]);
  });

  it("is found beside another that ends endpoints too", () => {
    expect(
      found(
        { at: 0, there: { bad: 100, a: 500 } },
        { at: 300, there: { worse: 60, a: 300 }, zone: "y" },
        { at: 3_000, there: { bad: 100, b: 50 } },
        { at: 3_300, there: { worse: 60, b: 200 }, zone: "y" },
        { at: 9_000, there: { bad: 100 }, trials: ["bad"] },
        { at: 9_300, there: { worse: 60 }, zone: "y", trials: ["worse"] },
      ).sort(),
    ).toEqual(["bad/c", "worse/c"]);
  });

  describe("is none that", () => {
    it("was at two ends, however quick", () => {
      expect(found(
        { at: 0, there: { a: 1 } },
        { at: 9_000, there: { a: 1 }, trials: ["a"] },
      )).toEqual([]);
    });

    it("was at three of a series, as it was sent on from one to the next", () => {
      expect(found(
        { at: 0, there: { a: 300 } },
        { at: 300, there: { a: 300 } },
        { at: 600, there: { a: 300 } },
      )).toEqual([]);
    });

    it("was at the same ends as another: each of the two may be it", () => {
      expect(found(
        { at: 0, there: { a: 100, b: 100 } },
        { at: 3_000, there: { a: 100, b: 100 } },
        { at: 6_000, there: { a: 100, b: 100 }, trials: ["a", "b"] },
        { at: 9_000, there: { a: 100, b: 100 }, trials: ["a", "b"] },
      )).toEqual([]);
    });

    it("was at endpoints of a zone that ended in one moment", () => {
      expect(found(
        { at: 0, there: { a: 100 }, others: 2 },
        { at: 50, there: { a: 100 }, others: 1 },
        { at: 90, there: { a: 100 }, others: 0 },
        { at: 120, there: { a: 100 }, others: 0, trials: ["a"] },
      )).toEqual([]);
    });

    it("ran for seconds at each while others ended around it", () => {
      expect(found(
        ...[0, 1, 2, 3, 4, 5].map((index) => ({
          at: index * 1_500,
          there: index % 2 === 0 ? { a: 2_500 } : { b: 2_500 },
          trials: ["a"],
        })),
      )).toEqual([]);
    });
  });
});
