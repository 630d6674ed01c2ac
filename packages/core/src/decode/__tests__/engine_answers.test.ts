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

  it("leave most of its time for prefill while they are short", () => {
    begin(SHORT);
    expect(answers.maxPrefillShare(instant(0))).toBe(MAX_PREFILL_SHARE);
    expect(answers.limitsPrefill(instant(0))).toBe(false);
  });

  // Guards against long answers that begin at once and are not complete at their deadline.
  it("leave less where one is long", () => {
    begin(SHORT, "b" as AttemptId);
    begin(LONG);
    expect(answers.maxPrefillShare(instant(0))).toBeCloseTo(0.6);
    expect(answers.limitsPrefill(instant(0))).toBe(true);
    answers.end(ID, true);
    expect(answers.maxPrefillShare(instant(0))).toBe(MAX_PREFILL_SHARE);
  });

  it("leave less the further one falls behind, but always some", () => {
    begin(LONG);
    expect(answers.maxPrefillShare(instant(9_000))).toBe(MIN_PREFILL_SHARE);
  });

  it("count at other entries too", () => {
    answers.setPeerNeed(PEER, 0.085);
    expect(answers.maxPrefillShare(instant(0))).toBeCloseTo(0.575);
    answers.setPeerNeed(PEER, 0);
    expect(answers.maxPrefillShare(instant(0))).toBe(MAX_PREFILL_SHARE);
  });

  it("take no share beside one that needs as much", () => {
    expect(answers.shareTakenBy(LONG, ENDS_AT, instant(0))).toBeCloseTo(0.15);
    begin(LONG);
    expect(answers.shareTakenBy(LONG, ENDS_AT, instant(0))).toBe(0);
  });

  it("show how fast the engine is apart from its prefill", () => {
    begin(LONG);
    let prefillTime = 0;
    for (let event = 0; event <= 2_000; event++) {
      prefillTime += 20;
      answers.noteEvent(ID, prefillTime, instant(100 * event));
    }
    expect(answers.speed.msPerToken).toBeGreaterThan(9);
    expect(answers.speed.msPerToken).toBeLessThan(11);
    expect(speed.msPerToken).toBeGreaterThan(9);
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
