import { describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { AnswerProgress, plannedOutputTokens } from "../index.ts";

const BOUNDS = { outputTokens: 900, outputHint: 300 };

describe("the planned length of an answer", () => {
  it("is the expected one at first", () => {
    expect(plannedOutputTokens(BOUNDS, 0)).toBe(300);
  });

  it("is a part of the limit where nothing is expected", () => {
    const bounds = { ...BOUNDS, outputHint: undefined };
    expect(plannedOutputTokens(bounds, 0)).toBe(315);
  });

  it("grows beyond the expected one with the answer, up to the limit", () => {
    expect(plannedOutputTokens(BOUNDS, 400)).toBe(480);
    expect(plannedOutputTokens(BOUNDS, 850)).toBe(900);
  });
});

describe("the rate that an answer needs", () => {
  const answer = (events: number): AnswerProgress =>
    new AnswerProgress(BOUNDS, { endsAt: instant(10_200), events });

  it("leads to its planned length shortly before its deadline", () => {
    expect(answer(0).neededRate(10, instant(0))).toBeCloseTo(0.03);
  });

  it("counts what the caller has", () => {
    expect(answer(20).neededRate(10, instant(5_000))).toBeCloseTo(0.02);
  });

  // Guards against one answer that can't be complete any more and takes all of its engine's time.
  it("stays finite at the deadline", () => {
    expect(answer(0).neededRate(10, instant(10_200))).toBeCloseTo(0.6);
  });
});
