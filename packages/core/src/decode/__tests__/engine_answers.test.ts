import { beforeEach, describe, expect, it } from "vitest";
import { type AttemptId, type Incarnation, instant } from "../../ids/index.ts";
import {
  EngineAnswers,
  MAX_PREFILL_SHARE,
  MIN_PREFILL_SHARE,
  ServiceDecodeSpeed,
} from "../index.ts";

const LONG = { outputTokens: 800, outputHint: 800 };
const SHORT = { outputTokens: 800, outputHint: 50 };
const ENDS_AT = instant(10_200);
const ID = "a" as AttemptId;
const PEER = "p" as Incarnation;

describe("the answers of an engine", () => {
  let speed: ServiceDecodeSpeed;
  let answers: EngineAnswers;

  beforeEach(() => {
    speed = new ServiceDecodeSpeed();
    answers = new EngineAnswers(speed);
  });

  const begin = (bounds: typeof LONG, id = ID): void =>
    answers.begin(id, bounds, { endsAt: ENDS_AT, events: 0 });

  /** An engine that generates a token of each answer every ten milliseconds. */
  function generate(events: number): void {
    for (let event = 0; event <= events; event++) {
      answers.noteEvent(ID, instant(80 * event - 80 * events));
    }
  }

  it("leave most of its time for prefill while they are short", () => {
    begin(SHORT);
    expect(answers.maxPrefillShare(instant(0))).toBe(MAX_PREFILL_SHARE);
    expect(answers.limitsPrefill(instant(0))).toBe(false);
  });

  // Guards against long answers that begin at once and are not complete at their deadline.
  it("leave less where one is behind, until it has ended", () => {
    begin(LONG);
    generate(10);
    expect(answers.ownPressure(instant(0))).toBeLessThan(1);
    expect(answers.maxPrefillShare(instant(0))).toBe(MAX_PREFILL_SHARE);
    expect(answers.ownPressure(instant(5_500))).toBeGreaterThan(1.4);
    expect(answers.limitsPrefill(instant(5_500))).toBe(true);
    expect(answers.maxPrefillShare(instant(5_500))).toBeLessThan(0.7);
    answers.end(ID, true);
    expect(answers.maxPrefillShare(instant(5_500))).toBe(MAX_PREFILL_SHARE);
  });

  it("always leave some", () => {
    begin(LONG);
    expect(answers.maxPrefillShare(instant(9_000))).toBe(MIN_PREFILL_SHARE);
  });

  it("count at other entries too", () => {
    answers.setPeerPressure(PEER, 1.45);
    expect(answers.maxPrefillShare(instant(0))).toBeCloseTo(0.55);
    answers.setPeerPressure(PEER, 0);
    expect(answers.maxPrefillShare(instant(0))).toBe(MAX_PREFILL_SHARE);
  });

  it("take no share beside one that is further behind", () => {
    const late = instant(6_000);
    expect(answers.shareTakenBy(LONG, ENDS_AT, late)).toBeGreaterThan(0.1);
    answers.setPeerPressure(PEER, 2);
    expect(answers.shareTakenBy(LONG, ENDS_AT, late)).toBe(0);
  });

  it("show how many tokens an event has, by the expected lengths", () => {
    for (let index = 0; index < 100; index++) {
      speed.recordComplete({ outputTokens: 800, outputHint: 200 }, 50);
    }
    expect(speed.tokensPerEvent).toBeCloseTo(4, 0);
    speed.recordComplete({ outputTokens: 800, outputHint: undefined }, 50);
    expect(speed.tokensPerEvent).toBeCloseTo(4, 0);
  });
});
