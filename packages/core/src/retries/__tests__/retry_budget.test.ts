import { describe, expect, it } from "vitest";
import { instant, milliseconds, type ServiceId } from "../../index.ts";
import { type RetryBounds, RetryBudget } from "../index.ts";

const SERVICE = "s" as ServiceId;
const BOUNDS: RetryBounds = {
  retryRatio: 0.2,
  retryWindow: milliseconds(10_000),
  retrySlack: 54,
};

describe("the retry budget", () => {
  // Guards against more repeats by all entries together than the platform allows. Each entry must not use
  // the whole slack for itself.
  it.each([1, 7, 91])("is not exceeded by %i entries together", (entries) => {
    const firsts = 40;
    let repeats = 0;
    for (let entry = 0; entry < entries; entry++) {
      const budget = new RetryBudget(BOUNDS);
      for (let index = 0; index < firsts; index++) {
        budget.noteFirstSend(SERVICE, instant(index));
      }
      while (budget.spend(SERVICE, { entries }, instant(100)).granted) {
        repeats++;
      }
    }
    const allowed = BOUNDS.retryRatio * firsts * entries + BOUNDS.retrySlack;
    expect(repeats).toBeLessThanOrEqual(allowed);
    expect(repeats).toBeGreaterThan(0);
  });

  it("becomes available again after its window", () => {
    const budget = new RetryBudget(BOUNDS);
    while (budget.spend(SERVICE, { entries: 9 }, instant(0)).granted) {
      // Uses up the budget.
    }
    const isGranted = (now: number): boolean =>
      budget.spend(SERVICE, { entries: 9 }, instant(now)).granted;
    expect(isGranted(5_000)).toBe(false);
    expect(isGranted(11_000)).toBe(true);
  });
});
