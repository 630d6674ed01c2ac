import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { instant, milliseconds, type ServiceId } from "../../index.ts";
import {
  divideSlack,
  type RetryBounds,
  RetryBudget,
  type SlackShare,
} from "../index.ts";

const SERVICE = "s" as ServiceId;
const WINDOW_MS = 10_000;
const BOUNDS: RetryBounds = {
  retryRatio: 0.2,
  retryWindow: milliseconds(WINDOW_MS),
  retrySlack: 54,
};
/** Never rounds up. */
const EXACT = { roundsUpFrom: 1 };
/** A process that has run for longer than any window. */
const LONG_AGO = instant(-60_000);

/** Spends all that is left and returns how much that was. */
function spendAll(
  budget: RetryBudget,
  share: SlackShare,
  now: number,
): number {
  let spent = 0;
  while (budget.spend(SERVICE, share, instant(now)).granted) {
    spent++;
  }
  return spent;
}

/** The most retries in any window, of ascending times. */
function mostInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + WINDOW_MS).length
    ),
  );
}

describe("the retry budget", () => {
  // Guards against more repeats by all entries together than the platform allows. Each entry must not use
  // the whole slack for itself.
  it.each([1, 7, 91])("is not exceeded by %i entries together", (entries) => {
    const firsts = 40;
    const share = divideSlack({ regions: 1, entries });
    let repeats = 0;
    for (let entry = 0; entry < entries; entry++) {
      const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
      for (let index = 0; index < firsts; index++) {
        budget.recordRequest(SERVICE, instant(index));
      }
      repeats += spendAll(budget, share, 100);
    }
    const allowed = BOUNDS.retryRatio * firsts * entries + BOUNDS.retrySlack;
    expect(repeats).toBeLessThanOrEqual(allowed);
    expect(repeats).toBeGreaterThan(0);
  });

  it("becomes available again after its window", () => {
    const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
    const share = divideSlack({ regions: 1, entries: 9 });
    const first = spendAll(budget, share, 0);
    expect(spendAll(budget, share, 11_000)).toBe(first);
  });

  // Guards against a machine that spends its share once more with each start of its process.
  it("is not exceeded by processes that start one after another", () => {
    const share = divideSlack({ regions: 3, entries: 1 });
    const starts = fc.array(fc.integer({ min: 100, max: 6_000 }), {
      minLength: 1,
      maxLength: 8,
    });
    const gaps = fc.array(fc.integer({ min: 0, max: 900 }), {
      minLength: 20,
      maxLength: 120,
    });
    fc.assert(fc.property(starts, gaps, (lifetimes, spendGaps) => {
      const spent: number[] = [];
      let budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
      let now = 0;
      let endsAt = lifetimes[0]!;
      let next = 1;
      for (const gap of spendGaps) {
        now += gap;
        if (now >= endsAt && next < lifetimes.length) {
          budget = new RetryBudget(BOUNDS, EXACT, instant(now));
          endsAt = now + lifetimes[next]!;
          next++;
        }
        const count = spendAll(budget, share, now);
        spent.push(...new Array<number>(count).fill(now));
      }
      expect(mostInWindow(spent)).toBeLessThanOrEqual(BOUNDS.retrySlack / 3);
    }));
  });

  // Guards against a fraction of the requests that is used once before and once after a peak.
  it("is not exceeded in any window, whenever requests come", () => {
    const none = divideSlack({ regions: 1, entries: undefined });
    const steps = fc.array(
      fc.record({
        gap: fc.integer({ min: 0, max: 4_000 }),
        requests: fc.integer({ min: 0, max: 60 }),
        spends: fc.boolean(),
      }),
      { minLength: 5, maxLength: 60 },
    );
    fc.assert(fc.property(steps, (plan) => {
      const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
      const requests: number[] = [];
      const spent: number[] = [];
      let now = 0;
      for (const step of plan) {
        now += step.gap;
        for (let index = 0; index < step.requests; index++) {
          budget.recordRequest(SERVICE, instant(now));
          requests.push(now);
        }
        const count = step.spends ? spendAll(budget, none, now) : 0;
        spent.push(...new Array<number>(count).fill(now));
      }
      for (const from of spent) {
        const within = (times: readonly number[], start: number): number =>
          times.filter((at) => at >= start && at < start + WINDOW_MS).length;
        const base = Math.max(
          within(requests, from),
          within(requests, from - WINDOW_MS),
        );
        expect(within(spent, from)).toBeLessThanOrEqual(
          BOUNDS.retryRatio * base,
        );
      }
    }));
  });

  it("counts what a request did not use as left", () => {
    const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
    const share = divideSlack({ regions: 1, entries: 2 });
    const before = budget.left(SERVICE, share, instant(0));
    budget.spend(SERVICE, share, instant(0));
    budget.refund(SERVICE, instant(0));
    expect(budget.left(SERVICE, share, instant(700))).toBeCloseTo(before, 0);
  });

  // Guards against a part that its lender and the borrower both spend.
  it("has less left by what it lends, and never lends more than half", () => {
    const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
    const share = divideSlack({ regions: 1, entries: 2 });
    const before = budget.left(SERVICE, share, instant(0));
    const lent = budget.lend(SERVICE, { share, wanted: 99 }, instant(0));
    expect(lent).toBeCloseTo(before / 2);
    expect(budget.left(SERVICE, share, instant(0))).toBeCloseTo(before - lent);
  });

  it("keeps its counts when the slack changes", () => {
    const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
    const share = divideSlack({ regions: 1, entries: 2 });
    spendAll(budget, share, 0);
    budget.updateBounds({ ...BOUNDS, retrySlack: 20 }, instant(1));
    budget.updateBounds(BOUNDS, instant(1));
    expect(spendAll(budget, share, 1)).toBe(0);
  });

  // Guards against a burst with each change of the settings.
  it("has no burst after its window has changed", () => {
    const budget = new RetryBudget(BOUNDS, EXACT, LONG_AGO);
    const share = divideSlack({ regions: 1, entries: 2 });
    spendAll(budget, share, 0);
    const retryWindow = milliseconds(5_000);
    budget.updateBounds({ ...BOUNDS, retryWindow }, instant(1));
    budget.updateBounds(BOUNDS, instant(2));
    expect(spendAll(budget, share, 3)).toBe(0);
  });

  it("rounds the parts of a large fleet so that they add up to about the whole", () => {
    const entries = 200;
    const share = divideSlack({ regions: 1, entries });
    let spent = 0;
    let whole = 0;
    for (let entry = 0; entry < entries; entry++) {
      const roundsUpFrom = (entry + 0.5) / entries;
      const budget = new RetryBudget(BOUNDS, { roundsUpFrom }, LONG_AGO);
      whole += budget.left(SERVICE, share, instant(0));
      spent += spendAll(budget, share, 0);
    }
    expect(Math.abs(spent - whole)).toBeLessThanOrEqual(1);
    expect(spent).toBeLessThanOrEqual(BOUNDS.retrySlack);
  });
});

describe("the slack", () => {
  it("is divided by regions, and by the entries that may exist in each", () => {
    const share = divideSlack({ regions: 3, entries: 4 });
    expect(share.fraction).toBeCloseTo(1 / 12);
  });

  // Guards against an entry that starts cut off from all others and takes the whole slack.
  it("is not used by an entry that knows no other", () => {
    expect(divideSlack({ regions: 3, entries: undefined }).fraction).toBe(0);
  });
});
