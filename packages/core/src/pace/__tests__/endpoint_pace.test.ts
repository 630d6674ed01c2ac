import { beforeEach, describe, expect, it } from "vitest";
import { instant } from "../../ids/index.ts";
import { EndpointPace, ServicePace } from "../index.ts";

describe("the pace of an endpoint", () => {
  let service: ServicePace;
  let pace: EndpointPace;

  beforeEach(() => {
    service = new ServicePace();
    service.isEnabled = true;
    pace = new EndpointPace(service);
  });

  it("is the usual one without reports", () => {
    pace.recordAnswer(500, instant(0));
    expect(pace.contention(instant(0))).toBe(1);
    expect(pace.lasting).toBe(1);
    expect(pace.answerTime).toBe(0);
  });

  it("is the usual one while it is not in use", () => {
    service.isEnabled = false;
    pace.recordContention(250, instant(0));
    expect(pace.contention(instant(0))).toBe(1);
    expect(pace.measuredContention(instant(0))).toBe(1);
  });

  it("is slower while the machine has other work", () => {
    pace.recordContention(250, instant(0));
    expect(pace.contention(instant(1))).toBeGreaterThan(2.3);
    expect(pace.contention(instant(5_000))).toBe(1);
  });

  // Guards against an endpoint that looks lastingly slow because its machine was slow while it was measured.
  it("is learned without the contention at that time", () => {
    const other = new EndpointPace(service);
    for (let turn = 0; turn < 50; turn++) {
      const now = instant(turn * 1_000);
      pace.recordContention(250, now);
      pace.recordAnswer(125, now);
      other.recordContention(100, now);
      other.recordAnswer(50, now);
    }
    expect(pace.lasting / other.lasting).toBeCloseTo(1, 1);
  });

  it("is not learned from answers that are too short to say anything", () => {
    const now = instant(0);
    pace.recordContention(100, now);
    [1, 2, 9].forEach((duration) => pace.recordAnswer(duration, now));
    expect(pace.answerTime).toBe(0);
    pace.recordAnswer(50, now);
    expect(pace.answerTime).toBe(50);
  });

  // Guards against answers of one endpoint that take forever, which would keep all later work away.
  it("is bounded, however long answers take", () => {
    const other = new EndpointPace(service);
    for (let turn = 0; turn < 200; turn++) {
      const now = instant(turn * 1_000);
      [pace, other].forEach((each) => each.recordContention(100, now));
      pace.recordAnswer(100_000, now);
      other.recordAnswer(50, now);
    }
    expect(pace.lasting).toBeGreaterThan(1.5);
    expect(pace.lasting).toBeLessThanOrEqual(2);
    expect(other.lasting).toBeGreaterThanOrEqual(0.6);
  });

  describe("told by a peer", () => {
    const told = { contention: 250, age: 100 };

    it("counts from when it was reported", () => {
      pace.receiveContention(told, instant(1_000));
      const direct = new EndpointPace(service);
      direct.receiveContention({ ...told, age: 0 }, instant(900));
      expect(pace.contention(instant(1_000))).toBe(
        direct.contention(instant(1_000)),
      );
    });

    it("doesn't replace a newer report", () => {
      pace.recordContention(100, instant(950));
      const before = pace.contention(instant(1_000));
      pace.receiveContention(told, instant(1_000));
      expect(pace.contention(instant(1_000))).toBe(before);
    });

    // Guards against a peer whose clock or process was stopped, and against figures that are no contention.
    it.each([
      { contention: 250, age: -5_000 },
      { contention: 250, age: 1e9 },
      { contention: 250, age: NaN },
      { contention: 0, age: 0 },
      { contention: NaN, age: 0 },
    ])("is ignored if it can't be true: %o", (report) => {
      pace.receiveContention(report, instant(10_000));
      expect(pace.contention(instant(10_000))).toBe(1);
    });
  });

  describe("is told to peers", () => {
    it("if it is not what they expect", () => {
      pace.recordContention(250, instant(0));
      expect(pace.unsharedDifference(instant(50))).toBeGreaterThan(1);
      expect(pace.share(instant(50))).toEqual({ contention: 250, age: 50 });
      expect(pace.unsharedDifference(instant(50))).toBe(0);
    });

    it("again when it has changed back", () => {
      pace.recordContention(250, instant(0));
      pace.share(instant(0));
      pace.recordContention(100, instant(100));
      expect(pace.unsharedDifference(instant(100))).toBeGreaterThan(1);
    });

    it("not if the machine is as fast as usual", () => {
      pace.recordContention(100, instant(0));
      expect(pace.unsharedDifference(instant(0))).toBe(0);
    });

    it("not if another entry has told the same", () => {
      pace.recordContention(250, instant(0));
      pace.receiveContention({ contention: 250, age: 0 }, instant(10));
      expect(pace.unsharedDifference(instant(10))).toBe(0);
    });

    it("not once it is too old to matter", () => {
      pace.recordContention(250, instant(0));
      expect(pace.unsharedDifference(instant(5_000))).toBe(0);
    });

    // Guards against peers that keep an outdated figure because the datagram with the newer one was lost.
    it("forgotten with its age if nothing newer arrives", () => {
      pace.receiveContention({ contention: 250, age: 0 }, instant(0));
      expect(pace.contention(instant(0))).toBeGreaterThan(2);
      expect(pace.contention(instant(service.contention.span))).toBe(1);
    });
  });
});
