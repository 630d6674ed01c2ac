import { beforeEach, describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { ListenedTime } from "../listened_time.ts";

describe("the time that a process listened", () => {
  let listened: ListenedTime;
  let now: number;
  const run = (time: number): void => {
    const end = now + time;
    while (now < end) {
      now += 25;
      listened.note(instant(now));
    }
  };
  const stall = (time: number): void => {
    now += time;
    listened.note(instant(now));
  };
  const since = (from: number): number =>
    listened.since(instant(from), instant(now));

  beforeEach(() => {
    now = 0;
    listened = new ListenedTime(instant(0));
  });

  it("is the clock's as long as the loop turns", () => {
    run(10_000);
    expect(since(0)).toBe(10_000);
    expect(since(9_000)).toBe(1_000);
  });

  it("grows by one step in a pause, however long", () => {
    run(1_000);
    stall(60_000);
    expect(since(0)).toBe(1_350);
    expect(since(1_000)).toBe(350);
    expect(since(now)).toBe(0);
  });

  it("runs on after a pause", () => {
    stall(3_000);
    const woken = now;
    run(500);
    expect(since(woken)).toBe(500);
    expect(since(0)).toBe(850);
  });

  it("leaves out each of several pauses", () => {
    for (let turn = 0; turn < 5; turn++) {
      run(100);
      stall(900);
    }
    expect(since(0)).toBe(5 * 450);
    expect(since(3_000)).toBe(2 * 450);
  });

  it("counts short turns, so that silence is seen in the end", () => {
    for (let turn = 0; turn < 1_000; turn++) {
      stall(1_000);
    }
    expect(since(now - 10_000)).toBe(3_500);
  });
});
