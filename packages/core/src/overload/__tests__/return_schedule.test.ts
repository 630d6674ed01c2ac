import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { MAX_HONOURED_SHARE, ReturnSchedule } from "../index.ts";

const REQUEST = {
  rank: 2,
  units: 1_000,
  timeUntilLate: 2_000,
  roomIn: 300,
  rate: 10,
  timeLeft: 6_000,
};

describe("the schedule of returns", () => {
  it("spaces returns by the time that each takes from this entry's part of the rate", () => {
    const schedule = new ReturnSchedule();
    const told = [1, 2, 3].map(() => schedule.book(REQUEST, instant(0)));
    expect(told).toEqual([300, 400, 500]);
    expect(schedule.size).toBe(3);
  });

  /** Guards against callers who return in a wave, and overtake those that were refused before them. */
  it("tells times in the order of refusal while callers honour them", () => {
    const requests = fc.array(
      fc.record({
        gap: fc.nat(300),
        units: fc.integer({ min: 1, max: 5_000 }),
        roomIn: fc.nat(1_000),
      }),
    );
    fc.assert(fc.property(requests, (drawn) => {
      const schedule = new ReturnSchedule();
      let now = 0;
      let lastDue = 0;
      for (const { gap, units, roomIn } of drawn) {
        now += gap;
        const size = schedule.size;
        const told = schedule.book({
          ...REQUEST,
          units,
          roomIn,
          timeUntilLate: 5_000,
        }, instant(now));
        if (schedule.size > size) {
          expect(told).toBeLessThanOrEqual(
            REQUEST.timeLeft * MAX_HONOURED_SHARE,
          );
          expect(now + told).toBeGreaterThanOrEqual(lastDue);
          lastDue = now + told;
        }
      }
    }));
  });

  it("tells the honest time and keeps no room where the caller will return before it", () => {
    const schedule = new ReturnSchedule();
    const told = schedule.book({ ...REQUEST, roomIn: 3_000 }, instant(0));
    expect(told).toBe(3_000);
    expect(schedule.size).toBe(0);
  });

  it("bounds the time told where no end shows", () => {
    const request = { ...REQUEST, roomIn: Infinity };
    const told = new ReturnSchedule().book(request, instant(0));
    expect(Number.isFinite(told)).toBe(true);
  });

  it("puts returns before new requests of their rank, and late ones behind all that can be on time", () => {
    const schedule = new ReturnSchedule();
    schedule.book(REQUEST, instant(0));
    schedule.book({ ...REQUEST, timeUntilLate: 100 }, instant(0));
    const ahead = (rank: number, late: boolean) =>
      schedule.unitsBefore({ rank, late }, instant(1_000));
    expect(ahead(2, false)).toBe(1_000);
    expect(ahead(2, true)).toBe(2_000);
    expect(ahead(1, false)).toBe(0);
    expect(schedule.unitsBefore({ rank: 2, late: false }, instant(100)))
      .toBe(0);
  });

  /** Guards against room that is kept for callers who have left or have returned elsewhere. */
  it("drops returns that are overdue or have come", () => {
    const schedule = new ReturnSchedule();
    schedule.book(REQUEST, instant(0));
    schedule.book(REQUEST, instant(0));
    schedule.settle(2);
    schedule.settle(1);
    expect(schedule.size).toBe(1);
    schedule.expire(instant(2_000));
    expect(schedule.size).toBe(0);
  });
});
