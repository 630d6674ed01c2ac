import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  type EndpointLife,
  type EndpointRecord,
  instant,
  ListenedTime,
  milliseconds,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import { CrashWatch, type WatchedEndpoint } from "../crash_watch.ts";

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
 * Requests are held for the endpoints that end under them, so that a connection that breaks while its
 * endpoint lives, or an end that was announced, must not count.
 */
describe("the end of an endpoint", () => {
  let gone: boolean;
  let endpoint: { record: EndpointRecord; heardAt: WatchedEndpoint["heardAt"] };
  let watch: CrashWatch;
  const begin = (name: string, at: number): void =>
    watch.began(endpoint, {
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
    watch.lost(endpoint, name as AttemptId, instant(at));
  const ended = (at: number): string[] =>
    watch.takeEnded(instant(at)).flatMap(({ runs }) =>
      runs.map(({ attempt }) => attempt)
    );

  beforeEach(() => {
    gone = false;
    endpoint = { record: RECORD, heardAt: undefined };
    watch = new CrashWatch(() => gone, new ListenedTime(instant(0)));
    begin("a", 0);
    begin("b", 100);
  });

  describe("is seen", () => {
    it("where its connections break and its port is closed", () => {
      lose("a", 200);
      lose("b", 201);
      expect(ended(205)).toEqual([]);
      watch.refused(RECORD);
      expect(ended(210)).toEqual([]);
      expect(ended(350)).toEqual(["a", "b"]);
    });

    it("where its connections break and its record is taken away", () => {
      lose("a", 200);
      gone = true;
      expect(ended(3_400)).toEqual(["a", "b"]);
    });

    it("where it falls silent and its record is taken away", () => {
      endpoint.heardAt = instant(150);
      gone = true;
      expect(ended(3_400)).toEqual(["a", "b"]);
    });

    it("where a peer says so", () => {
      lose("a", 200);
      watch.told(RECORD, instant(300));
      expect(ended(310)).toEqual(["a"]);
    });

    it("with what is lost there a moment later", () => {
      lose("a", 200);
      watch.refused(RECORD);
      expect(ended(360)).toEqual(["a"]);
      lose("b", 380);
      expect(ended(385)).toEqual(["b"]);
    });

    it("once a life", () => {
      lose("a", 200);
      watch.refused(RECORD);
      expect(ended(360)).toEqual(["a"]);
      expect(ended(400)).toEqual([]);
    });
  });

  describe("is not seen", () => {
    it("where something is heard from it after the loss", () => {
      lose("a", 200);
      endpoint.heardAt = instant(400);
      gone = true;
      expect(ended(401)).toEqual([]);
    });

    it("where a connection breaks and the endpoint stays", () => {
      lose("a", 200);
      expect(ended(1_000)).toEqual([]);
      gone = true;
      endpoint.heardAt = instant(7_900);
      expect(ended(8_000)).toEqual([]);
    });

    it("where it had told that it leaves", () => {
      endpoint.record = { ...RECORD, state: "draining" };
      lose("a", 200);
      watch.refused(RECORD);
      gone = true;
      expect(ended(4_000)).toEqual([]);
    });

    it("where its record was taken away while it went on answering", () => {
      gone = true;
      endpoint.heardAt = instant(3_000);
      expect(ended(3_100)).toEqual([]);
      lose("a", 3_200);
      watch.refused(RECORD);
      expect(ended(3_400)).toEqual([]);
    });

    it("where its port takes no more connections and it answers others", () => {
      lose("a", 200);
      watch.refused(RECORD);
      endpoint.heardAt = instant(310);
      expect(ended(360)).toEqual([]);
    });

    it("where it has started again and a connection breaks", () => {
      lose("a", 200);
      watch.refused(RECORD);
      expect(ended(360)).toEqual(["a"]);
      endpoint.heardAt = instant(1_000);
      lose("b", 1_200);
      expect(ended(1_400)).toEqual([]);
    });

    it("where requests were answered before", () => {
      watch.ended(endpoint, "a" as AttemptId);
      lose("b", 200);
      watch.refused(RECORD);
      expect(ended(360)).toEqual(["b"]);
    });
  });

  it("is looked for once for all connections that break together", () => {
    lose("a", 200);
    expect(watch.isToKnock(endpoint, instant(200))).toBe(true);
    lose("b", 201);
    expect(watch.isToKnock(endpoint, instant(201))).toBe(false);
    expect(watch.isToKnock(endpoint, instant(800))).toBe(true);
  });
});
