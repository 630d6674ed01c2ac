import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  type EndpointRecord,
  hash32,
  type Incarnation,
  instant,
  milliseconds,
  partDigest,
  type RequestId,
  type ServiceId,
  StallAdjustedClock,
  type ZoneId,
} from "../../index.ts";
import {
  EMPTY_QUARANTINE_UPDATE,
  type QuarantineUpdate,
} from "../quarantine_messages.ts";
import { QuarantineController } from "../quarantine_controller.ts";

const POOL = "pool" as ServiceId;
const CALLER = "c" as CallerDigest;
const BAD = "bad" as ContentDigest;
const DETECTION_MS = 200;
/** Time in which all entries report their parts of a crash. */
const SETTLING_MS = 300;

function record(name: string): EndpointRecord {
  return {
    id: name as EndpointId,
    service: POOL,
    address: `${name}:1`,
    zone: "z" as ZoneId,
    softwareVersion: "v1",
    slots: 8,
    state: "ready",
    coldFor: milliseconds(0),
    leavesIn: undefined,
    life: undefined,
    sequence: 1,
  };
}

describe("an entry's quarantine", () => {
  let sentNews: { news: QuarantineUpdate; to: string }[];
  let logEntries: { text: string; fields: Readonly<Record<string, unknown>> }[];
  let probes: string[];
  let controller: QuarantineController;
  let attemptCount = 0;

  beforeEach(() => {
    sentNews = [];
    logEntries = [];
    probes = [];
    controller = new QuarantineController({
      self: { incarnation: "me" as Incarnation },
      endpoints: () =>
        new Map(
          Array.from({ length: 40 }, (_, index) => record(`e${index}`)).map(
            (item) => [item.id, item],
          ),
        ),
      servingEntries: () => ["another" as Incarnation],
      clock: new StallAdjustedClock(instant(0)),
      claimDelay: milliseconds(200),
      noteOnTrial: () => {},
      peerCount: () => 8,
      probePort: ({ id }) => probes.push(id),
      send: (news, to) => sentNews.push({ news, to }),
      log: (_part, text, fields) => logEntries.push({ text, fields }),
    });
  });

  /** Sends requests to an endpoint, which crashes while they are in progress. */
  const crash = (endpoint: string, contents: readonly string[], at: number) => {
    const endpointState = { record: record(endpoint), heardAt: undefined };
    const attempts = contents.map((content) => {
      attemptCount++;
      const attempt = `a${attemptCount}` as AttemptId;
      const fingerprint = {
        content: content as ContentDigest,
        caller: CALLER,
      };
      const attemptFields = {
        attempt,
        fingerprint,
        path: "/p",
        sentAt: instant(at),
      };
      controller.noteSent(
        endpointState,
        attemptFields,
        `r${attemptCount}` as RequestId,
      );
      return { attempt, fingerprint };
    });
    for (const { attempt, fingerprint } of attempts) {
      const attemptFields = { attempt, fingerprint, end: "lost" as const };
      controller.noteOutcome(endpointState, attemptFields, instant(at + 100));
      controller.noteBrokenConnection(endpointState, instant(at + 100));
    }
    controller.notePortClosed(endpointState.record);
    controller.tick(instant(at + 100 + DETECTION_MS));
    controller.tick(instant(at + 100 + DETECTION_MS + SETTLING_MS));
  };
  const decide = (at: number, id = "r") =>
    controller.check({
      id: id as RequestId,
      fingerprint: { content: BAD, caller: CALLER },
      services: [POOL],
      mayServe: () => true,
    }, instant(at));

  it("holds a request after the third crash, and informs peers and operators", () => {
    crash("e1", ["bad", "x"], 0);
    expect(decide(500).kind).toBe("free");
    crash("e2", ["bad", "y"], 5_000);
    crash("e3", ["bad", "w"], 10_000);
    expect(decide(10_700).kind).toBe("held");
    const hold = sentNews.find(({ news }) => news.holds.length > 0);
    expect(hold?.to).toBe("spread");
    expect(hold?.news.holds[0]).toMatchObject({ subject: BAD, term: 1 });
    expect(logEntries.map(({ text }) => text)).toEqual([
      "Endpoint has ended.",
      "Endpoint has ended.",
      "Endpoint has ended.",
      "Request is held back.",
    ]);
    expect(logEntries[2]?.fields).toMatchObject({
      endpoint: "e3",
      requests: 2,
      quickest: [{ digest: "bad", ends: 3 }, { digest: "w", ends: 1 }],
    });
  });

  describe("tries one copy of a suspect at a time", () => {
    const TRIAL = { kind: "limited", trial: true };
    const OTHERS = ["a", "b", "c", "d", "e", "f"] as Incarnation[];
    const receive = (from: Incarnation, sent: boolean, at: number): void => {
      const tried = [{ subject: BAD, sent }];
      const news = { ...EMPTY_QUARANTINE_UPDATE, tried };
      controller.apply(news, from, instant(at));
    };
    const send = (id: string, at: number): void =>
      controller.noteSent({ record: record("e3"), heardAt: undefined }, {
        attempt: id as AttemptId,
        fingerprint: { content: BAD, caller: CALLER },
        path: "/p",
        sentAt: instant(at),
      }, id as RequestId);

    beforeEach(() => {
      crash("e1", ["bad"], 0);
      crash("e2", ["bad"], 5_000);
    });

    it("after claiming the trial, while others wait", () => {
      expect(decide(9_000, "first").kind).toBe("wait");
      expect(sentNews.at(-1)).toMatchObject({
        to: "carriers",
        news: { tried: [{ subject: BAD, sent: false }] },
      });
      expect(decide(9_100, "first").kind).toBe("wait");
      expect(decide(9_200, "second").kind).toBe("wait");
      expect(decide(9_200, "first")).toMatchObject(TRIAL);
      send("first", 9_200);
      expect(sentNews.at(-1)?.news.tried).toEqual([{
        subject: BAD,
        sent: true,
      }]);
      expect(decide(9_300, "second").kind).toBe("wait");
      expect(decide(14_200, "second").kind).toBe("wait");
      expect(decide(14_400, "second")).toMatchObject(TRIAL);
    });

    it("unless another entry's claim takes precedence", () => {
      decide(9_000, "first");
      OTHERS.forEach((from) => receive(from, false, 9_050));
      const decision = decide(9_200, "first").kind;
      const withPrecedence = OTHERS.filter((from) =>
        hash32(`bad ${from}`) < hash32("bad me")
      );
      expect(decision).toBe(withPrecedence.length > 0 ? "wait" : "limited");
    });

    it("and waits while a peer's copy is tried", () => {
      decide(9_000, "first");
      receive(OTHERS[0]!, true, 9_050);
      expect(decide(9_200, "first").kind).toBe("wait");
      expect(decide(14_000, "first").kind).toBe("wait");
    });

    it("and claims again after a claim without a trial", () => {
      receive(OTHERS[0]!, false, 9_000);
      expect(decide(9_500, "first").kind).toBe("wait");
      decide(9_600, "first");
      expect(decide(9_800, "first")).toMatchObject(TRIAL);
    });

    it("and continues at once when the previous copy crashed an endpoint", () => {
      decide(9_000, "first");
      decide(9_200, "first");
      send("first", 9_200);
      crash("e4", ["bad"], 9_300);
      decide(9_700, "second");
      expect(decide(9_900, "second").kind).not.toBe("wait");
    });
  });

  it("probes the port of an endpoint once if many requests are lost", () => {
    crash("e1", Array.from({ length: 60 }, (_, index) => `x${index}`), 0);
    expect(probes).toEqual(["e1"]);
  });

  it("reports a bounded number of crashes if a zone is lost", () => {
    for (let index = 0; index < 40; index++) {
      crash(`e${index}`, [`x${index}`], 0);
    }
    const crashes = sentNews.filter(({ news }) => news.crashes.length > 0);
    expect(crashes.length).toBe(8);
    expect(controller.crashes).toBe(40);
  });

  it("logs the prompt parts at a crash, those without an answer first", () => {
    const endpoint = { record: record("e1"), heardAt: undefined };
    const start = (id: string, parts: string[], at: number) => {
      const fingerprint = {
        content: id as ContentDigest,
        caller: CALLER,
        parts: parts.map(partDigest),
      };
      const attempt = id as AttemptId;
      controller.noteSent(
        endpoint,
        { attempt, fingerprint, path: "/p", sentAt: instant(at) },
        id as RequestId,
      );
      return { attempt, fingerprint };
    };
    const sound = start("a1", ["first"], 0);
    controller.noteOutcome(
      endpoint,
      { ...sound, end: "answered" },
      instant(1_000),
    );
    const lost = start("a2", ["first", "new"], 1_500);
    controller.noteOutcome(endpoint, { ...lost, end: "lost" }, instant(1_600));
    controller.notePortClosed(endpoint.record);
    controller.tick(instant(1_900));
    expect(logEntries[0]?.fields.parts).toEqual([
      { part: "p:new", requests: 1, ends: 1 },
      { part: "p:first", requests: 1, ends: 1, answeredMsBefore: 600 },
    ]);
  });

  it("logs a bounded number of requests per crash", () => {
    crash("e1", Array.from({ length: 60 }, (_, index) => `x${index}`), 0);
    expect(logEntries[0]?.fields).toMatchObject({ requests: 60 });
    expect((logEntries[0]?.fields.quickest as unknown[]).length).toBe(8);
  });

  // Guards against holding what only one entry believes to crash endpoints.
  it("ends a peer's hold of a part that was just answered here", () => {
    const endpoint = { record: record("e1"), heardAt: undefined };
    const part = partDigest("x");
    const fingerprint = {
      content: "r" as ContentDigest,
      caller: CALLER,
      parts: [part],
    };
    const attempt = "a" as AttemptId;
    controller.noteSent(
      endpoint,
      { attempt, fingerprint, path: "/p", sentAt: instant(0) },
      "r" as RequestId,
    );
    controller.noteOutcome(
      endpoint,
      { attempt, fingerprint, end: "answered" },
      instant(1_000),
    );
    const hold = {
      subject: part,
      caller: undefined,
      service: POOL,
      versions: ["v1"],
      mended: [],
      term: 1,
      remaining: milliseconds(120_000),
      released: false,
    };
    controller.applyHolds([hold], instant(2_000));
    expect(controller.holds.has(part)).toBe(false);
    controller.tick(instant(2_025));
    expect(sentNews.at(-1)?.news.answered).toEqual([
      { subject: part, softwareVersion: "v1" },
    ]);
    controller.applyHolds([{ ...hold, term: 2 }], instant(9_000));
    expect(controller.holds.has(part)).toBe(true);
  });

  it("lets operators end a hold at all entries", () => {
    ["e1", "e2", "e3"].forEach((name, index) =>
      crash(name, ["bad"], index * 5_000)
    );
    expect(controller.release(BAD, instant(20_000))).toBe(true);
    expect(decide(20_001).kind).toBe("free");
    expect(sentNews.at(-1)?.news.holds[0]).toMatchObject({ released: true });
    expect(controller.release(BAD, instant(20_002))).toBe(false);
  });
});
