import { describe, expect, it } from "vitest";
import { instant, milliseconds } from "../../index.ts";
import { BucketCounter } from "../bucket_counter.ts";

describe("a counter with buckets", () => {
  it("sums the bucket in progress and those before it", () => {
    const counter = new BucketCounter(milliseconds(500), 4);
    [0, 499, 500, 1_200, 1_700].forEach((at) => counter.add(instant(at)));
    expect(counter.sums(instant(1_700))).toEqual([1, 2, 3, 5]);
  });

  it("forgets buckets that are no longer kept", () => {
    const counter = new BucketCounter(milliseconds(500), 4);
    counter.add(instant(0));
    expect(counter.sums(instant(2_000))).toEqual([0, 0, 0, 0]);
    expect(counter.sums(instant(60_000))).toEqual([0, 0, 0, 0]);
  });

  it("takes events back from kept buckets only", () => {
    const counter = new BucketCounter(milliseconds(500), 4);
    counter.add(instant(100));
    counter.add(instant(1_900));
    counter.remove(instant(100));
    expect(counter.sums(instant(1_900)).at(-1)).toBe(1);
    counter.add(instant(2_100));
    counter.remove(instant(100));
    expect(counter.sums(instant(2_100)).at(-1)).toBe(2);
  });
});
