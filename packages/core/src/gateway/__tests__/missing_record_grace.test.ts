import { beforeEach, describe, expect, it } from "vitest";
import { type Instant, instant } from "../../ids/index.ts";
import { MissingRecordGrace } from "../missing_record_grace.ts";

const LAST_ANSWER_AT = 10_000;

// Guards against requests to an endpoint that was removed right after a restore which is noticed late.
describe("the grace for missing records", () => {
  let grace: MissingRecordGrace;
  const keptUntil = (now: number): Instant | undefined =>
    grace.keptUntil(instant(now));

  beforeEach(() => {
    grace = new MissingRecordGrace(instant(0));
    grace.noteAnswer(instant(LAST_ANSWER_AT));
  });

  it("lasts for seconds after an outage, however long that was", () => {
    grace.noteOutageEnd(instant(60_000));
    expect(keptUntil(60_000)).toBe(62_200);
    expect(keptUntil(62_200)).toBeUndefined();
  });

  it("is limited from the last answer before a restore", () => {
    grace.noteRestore(instant(12_500));
    expect(keptUntil(12_500)).toBe(13_200);
  });

  it("is not extended by the end of the outage in which the restore was noticed", () => {
    grace.noteRestore(instant(12_000));
    grace.noteFailure(instant(11_000));
    grace.noteOutageEnd(instant(13_000));
    expect(keptUntil(13_000)).toBe(13_200);
  });

  it("is limited while the platform does not answer after a restore", () => {
    grace.noteRestore(instant(12_000));
    expect(grace.keptUntilDuringOutage(instant(13_000))).toBe(13_200);
    expect(grace.keptUntilDuringOutage(instant(13_300))).toBeUndefined();
  });

  it.each([
    ["an answer", (): void => grace.noteAnswer(instant(12_600))],
    ["another failure", (): void => grace.noteFailure(instant(12_600))],
  ])("begins anew for an outage after a restore and %s", (_, note) => {
    grace.noteRestore(instant(12_500));
    note();
    grace.noteOutageEnd(instant(20_000));
    expect(keptUntil(20_000)).toBe(22_200);
  });
});
