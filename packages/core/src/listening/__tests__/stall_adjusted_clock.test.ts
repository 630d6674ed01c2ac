import { beforeEach, describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { StallAdjustedClock } from "../stall_adjusted_clock.ts";

describe("the time without stalls of a process", () => {
  let clock: StallAdjustedClock;
  let now: number;
  const run = (time: number): void => {
    const end = now + time;
    while (now < end) {
      now += 25;
      clock.recordTurn(instant(now));
    }
  };
  const stall = (time: number): void => {
    now += time;
    clock.recordTurn(instant(now));
  };
  const since = (from: number): number =>
    clock.since(instant(from), instant(now));

  beforeEach(() => {
    now = 0;
    clock = new StallAdjustedClock(instant(0));
  });

  it("equals the elapsed time while the event loop turns", () => {
    run(10_000);
    expect(since(0)).toBe(10_000);
    expect(since(9_000)).toBe(1_000);
  });

  it("grows by the longest normal gap during a pause of any length", () => {
    run(1_000);
    stall(60_000);
    expect(since(0)).toBe(1_350);
    expect(since(1_000)).toBe(350);
    expect(since(now)).toBe(0);
  });

  it("continues after a pause", () => {
    stall(3_000);
    const woken = now;
    run(500);
    expect(since(woken)).toBe(500);
    expect(since(0)).toBe(850);
  });

  it("excludes each of several pauses", () => {
    for (let turn = 0; turn < 5; turn++) {
      run(100);
      stall(900);
    }
    expect(since(0)).toBe(5 * 450);
    expect(since(3_000)).toBe(2 * 450);
  });

  it("counts part of each of many stalls, so that silence is detected eventually", () => {
    for (let turn = 0; turn < 1_000; turn++) {
      stall(1_000);
    }
    expect(since(now - 10_000)).toBe(3_500);
  });
});
