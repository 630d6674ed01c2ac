import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { milliseconds, type RouteName } from "../../ids/index.ts";
import { StatedTimes } from "../index.ts";

const ROUTE = "digest" as RouteName;

function learned(...stated: readonly (number | undefined)[]): StatedTimes {
  const times = new StatedTimes();
  stated.forEach((time) =>
    times.record(ROUTE, time === undefined ? undefined : milliseconds(time))
  );
  return times;
}

function repeat(time: number, count: number): number[] {
  return new Array<number>(count).fill(time);
}

describe("the age of a request", () => {
  it("is what its caller's time lacks of the usual time", () => {
    const times = learned(...repeat(5_000, 20), 3_800, 3_100, 2_900);
    expect(times.ageOf(ROUTE, milliseconds(3_400))).toBe(1_600);
    expect(times.ageOf(ROUTE, milliseconds(5_000))).toBe(0);
    expect(times.ageOf(ROUTE, milliseconds(4_990))).toBe(0);
  });

  it("is unknown until enough callers have stated a time, and where none do", () => {
    expect(learned(5_000, 5_000).ageOf(ROUTE, milliseconds(3_000)))
      .toBeUndefined();
    const silent = learned(...new Array<undefined>(40).fill(undefined));
    expect(silent.ageOf(ROUTE, milliseconds(3_000))).toBeUndefined();
    expect(silent.ageOf(ROUTE, undefined)).toBeUndefined();
  });

  /** Guards against every request looking old because one caller states an hour. */
  it("is not estimated from single large times", () => {
    const times = learned(
      ...repeat(5_000, 30),
      3_600_000,
      Infinity,
      Number.MAX_SAFE_INTEGER,
      ...repeat(5_000, 6),
    );
    expect(times.ageOf(ROUTE, milliseconds(5_000))).toBe(0);
    expect(times.ageOf(ROUTE, milliseconds(4_000))).toBe(1_000);
  });

  /** Guards against refusals of one customer's requests as late because another one's callers wait for longer. */
  it("is 0 for all times that are common", () => {
    const times = learned(...repeat(10_000, 20), ...repeat(5_000, 20));
    expect(times.ageOf(ROUTE, milliseconds(5_000))).toBe(0);
    expect(times.ageOf(ROUTE, milliseconds(10_000))).toBe(0);
  });

  /** Guards against every request looking late after callers have shortened their time. */
  it("follows a change of the usual time", () => {
    const times = learned(...repeat(15_000, 60), ...repeat(5_000, 20));
    expect(times.ageOf(ROUTE, milliseconds(5_000))).toBe(0);
  });

  it("is unknown where it exceeds what a caller uses up before it returns", () => {
    const times = learned(...repeat(15_000, 20));
    expect(times.ageOf(ROUTE, milliseconds(1_000))).toBeUndefined();
  });

  /** Guards against bad values in requests: 0, negative, huge or no numbers. */
  it("is never negative and never above the usual time", () => {
    const anyTime = fc.oneof(
      fc.double(),
      fc.constantFrom(0, -1, NaN, Infinity, 5_000),
    );
    fc.assert(fc.property(fc.array(anyTime), anyTime, (stated, asked) => {
      const times = learned(...repeat(5_000, 40), ...stated.slice(0, 8));
      const age = times.ageOf(ROUTE, milliseconds(asked)) ?? 0;
      expect(age).toBeGreaterThanOrEqual(0);
      expect(age).toBeLessThanOrEqual(5_000);
    }));
  });

  it("is remembered for a bounded number of routes", () => {
    const times = learned(...repeat(5_000, 20));
    for (let index = 0; index < 5_000; index++) {
      times.record(`r${index}` as RouteName, milliseconds(1_000));
    }
    expect(times.ageOf(ROUTE, milliseconds(4_000))).toBeUndefined();
  });
});
