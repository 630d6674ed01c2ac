import { describe, expect, it } from "vitest";
import { instant, milliseconds } from "../../index.ts";
import { BucketCounter } from "../bucket_counter.ts";

describe("a counter with buckets", () => {
  it("sums the bucket in progress and those before it", () => {
    const counter = new BucketCounter(milliseconds(500), 4);
    [0, 499, 500, 1_200, 1_700].forEach((at) => counter.add(instant(at)));
    expect(counter.sum(instant(1_700), 0)).toBe(1);
    expect(counter.sum(instant(1_700), 1)).toBe(2);
    expect(counter.sum(instant(1_700), 3)).toBe(5);
    expect(counter.sum(instant(1_700), 9)).toBe(5);
  });

  it("forgets buckets that are no longer kept", () => {
    const counter = new BucketCounter(milliseconds(500), 4);
    counter.add(instant(0));
    expect(counter.sum(instant(2_000), 3)).toBe(0);
    expect(counter.sum(instant(60_000), 3)).toBe(0);
  });

  it("takes events back from kept buckets only", () => {
    const counter = new BucketCounter(milliseconds(500), 4);
    counter.add(instant(100));
    counter.add(instant(1_900));
    counter.remove(instant(100));
    expect(counter.sum(instant(1_900), 3)).toBe(1);
    counter.add(instant(2_100));
    counter.remove(instant(100));
    expect(counter.sum(instant(2_100), 3)).toBe(2);
  });
});
