import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  type EndpointLife,
  type EndpointRecord,
  instant,
  milliseconds,
  type ServiceId,
  StallAdjustedClock,
  type ZoneId,
} from "../../index.ts";
import { CrashDetector, type TrackedEndpoint } from "../crash_detector.ts";

const RECORD: EndpointRecord = {
  id: "e" as EndpointId,
  service: "pool" as ServiceId,
  address: "e:1",
  zone: "z" as ZoneId,
  softwareVersion: "v1",
  slots: 8,
  state: "ready",
  coldFor: milliseconds(0),
  leavesIn: undefined,
  life: 7 as EndpointLife,
  sequence: 1,
};

/**
 * Crashes are evidence for holding a request. A connection that breaks while its endpoint is alive, or a
 * shutdown that was announced, must therefore not count as a crash.
 */
describe("the crash of an endpoint", () => {
  let recordGone: boolean;
  let endpoint: { record: EndpointRecord; heardAt: TrackedEndpoint["heardAt"] };
  let detector: CrashDetector;
  const begin = (name: string, at: number): void =>
    detector.noteSent(endpoint, {
      attempt: name as AttemptId,
      fingerprint: {
        content: name as ContentDigest,
        caller: "c" as CallerDigest,
      },
      path: "/p",
      sentAt: instant(at),
      trial: false,
    });
  const lose = (name: string, at: number): void =>
    detector.noteLost(endpoint, name as AttemptId, instant(at));
  const takeCrashed = (at: number): string[] =>
    detector.takeCrashed(instant(at)).flatMap(({ attempts }) =>
      attempts.map(({ attempt }) => attempt)
    );

  beforeEach(() => {
    recordGone = false;
    endpoint = { record: RECORD, heardAt: undefined };
    detector = new CrashDetector(
      () => recordGone,
      new StallAdjustedClock(instant(0)),
    );
    begin("a", 0);
    begin("b", 100);
  });

  describe("is detected", () => {
    it("if its connections break and its port is closed", () => {
      lose("a", 200);
      lose("b", 201);
      expect(takeCrashed(205)).toEqual([]);
      detector.notePortClosed(RECORD);
      expect(takeCrashed(210)).toEqual([]);
      expect(takeCrashed(350)).toEqual(["a", "b"]);
    });

    it("if its connections break and its record is removed", () => {
      lose("a", 200);
      recordGone = true;
      expect(takeCrashed(3_400)).toEqual(["a", "b"]);
    });

    it("if it falls silent and its record is removed", () => {
      endpoint.heardAt = instant(150);
      recordGone = true;
      expect(takeCrashed(3_400)).toEqual(["a", "b"]);
    });

    it("if a peer reports it", () => {
      lose("a", 200);
      detector.noteReported(RECORD, instant(300));
      expect(takeCrashed(310)).toEqual(["a"]);
    });

    it("with the attempts that are lost there a moment later", () => {
      lose("a", 200);
      detector.notePortClosed(RECORD);
      expect(takeCrashed(360)).toEqual(["a"]);
      lose("b", 380);
      expect(takeCrashed(385)).toEqual(["b"]);
    });

    it("once per life", () => {
      lose("a", 200);
      detector.notePortClosed(RECORD);
      expect(takeCrashed(360)).toEqual(["a"]);
      expect(takeCrashed(400)).toEqual([]);
    });
  });

  describe("is not detected", () => {
    it("if data is received from it after the loss", () => {
      lose("a", 200);
      endpoint.heardAt = instant(400);
      recordGone = true;
      expect(takeCrashed(401)).toEqual([]);
    });

    it("if a connection breaks and the endpoint stays", () => {
      lose("a", 200);
      expect(takeCrashed(1_000)).toEqual([]);
      recordGone = true;
      endpoint.heardAt = instant(7_900);
      expect(takeCrashed(8_000)).toEqual([]);
    });

    it("if it had announced its shutdown", () => {
      endpoint.record = { ...RECORD, state: "draining" };
      lose("a", 200);
      detector.notePortClosed(RECORD);
      recordGone = true;
      expect(takeCrashed(4_000)).toEqual([]);
    });

    it("if its record was removed while it continued to answer", () => {
      recordGone = true;
      endpoint.heardAt = instant(3_000);
      expect(takeCrashed(3_100)).toEqual([]);
      lose("a", 3_200);
      detector.notePortClosed(RECORD);
      expect(takeCrashed(3_400)).toEqual([]);
    });

    it("if its port accepts no more connections but it answers others", () => {
      lose("a", 200);
      detector.notePortClosed(RECORD);
      endpoint.heardAt = instant(310);
      expect(takeCrashed(360)).toEqual([]);
    });

    it("if it has restarted and a connection breaks", () => {
      lose("a", 200);
      detector.notePortClosed(RECORD);
      expect(takeCrashed(360)).toEqual(["a"]);
      endpoint.heardAt = instant(1_000);
      lose("b", 1_200);
      expect(takeCrashed(1_400)).toEqual([]);
    });

    it("for attempts that were answered before", () => {
      detector.noteEnded(endpoint, "a" as AttemptId);
      lose("b", 200);
      detector.notePortClosed(RECORD);
      expect(takeCrashed(360)).toEqual(["b"]);
    });
  });

  it("is probed for once for all connections that break together", () => {
    lose("a", 200);
    expect(detector.shouldProbe(endpoint, instant(200))).toBe(true);
    lose("b", 201);
    expect(detector.shouldProbe(endpoint, instant(201))).toBe(false);
    expect(detector.shouldProbe(endpoint, instant(800))).toBe(true);
  });
});
