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
  ListenedTime,
  milliseconds,
  type RequestId,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import type { QuarantineNews } from "../quarantine_messages.ts";
import { QuarantineController } from "../quarantine_controller.ts";

const POOL = "pool" as ServiceId;
const CALLER = "c" as CallerDigest;
const BAD = "bad" as ContentDigest;
const SEEN_MS = 200;

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
  let told: { news: QuarantineNews; to: string }[];
  let lines: { text: string; fields: Readonly<Record<string, unknown>> }[];
  let knocks: string[];
  let controller: QuarantineController;
  let attempts = 0;

  beforeEach(() => {
    told = [];
    lines = [];
    knocks = [];
    controller = new QuarantineController({
      self: { incarnation: "me" as Incarnation },
      endpoints: () =>
        new Map(
          Array.from({ length: 40 }, (_, index) => record(`e${index}`)).map(
            (item) => [item.id, item],
          ),
        ),
      carriers: () => ["another" as Incarnation],
      listened: new ListenedTime(instant(0)),
      claimTime: milliseconds(200),
      knock: ({ id }) => knocks.push(id),
      tell: (news, to) => told.push({ news, to }),
      log: (_part, text, fields) => lines.push({ text, fields }),
    });
  });

  /** A request runs at an endpoint that ends under it. */
  const end = (endpoint: string, contents: readonly string[], at: number) => {
    const watched = { record: record(endpoint), heardAt: undefined };
    const begun = contents.map((content) => {
      attempts++;
      const attempt = `a${attempts}` as AttemptId;
      const fingerprint = {
        content: content as ContentDigest,
        caller: CALLER,
      };
      const run = { attempt, fingerprint, path: "/p", sentAt: instant(at) };
      controller.began(watched, run, `r${attempts}` as RequestId);
      return { attempt, fingerprint };
    });
    for (const { attempt, fingerprint } of begun) {
      const run = { attempt, fingerprint, end: "lost" as const };
      controller.ended(watched, run, instant(at + 100));
      controller.broken(watched, instant(at + 100));
    }
    controller.refused(watched.record);
    controller.tick(instant(at + 100 + SEEN_MS));
  };
  const judge = (at: number, id = "r") =>
    controller.judge({
      id: id as RequestId,
      fingerprint: { content: BAD, caller: CALLER },
      services: [POOL],
    }, instant(at));

  it("holds a request after the third end, and tells others and operators", () => {
    end("e1", ["bad", "x"], 0);
    expect(judge(500).kind).toBe("free");
    end("e2", ["bad", "y"], 5_000);
    end("e3", ["bad", "w"], 10_000);
    expect(judge(10_500).kind).toBe("held");
    const hold = told.find(({ news }) => news.holds.length > 0);
    expect(hold?.to).toBe("spread");
    expect(hold?.news.holds[0]).toMatchObject({ content: BAD, term: 1 });
    expect(lines.map(({ text }) => text)).toEqual([
      "Endpoint has ended.",
      "Endpoint has ended.",
      "Endpoint has ended.",
      "Request is held back.",
    ]);
    expect(lines[2]?.fields).toMatchObject({
      endpoint: "e3",
      requests: 2,
      quickest: [{ digest: "bad", ends: 3 }, { digest: "w", ends: 1 }],
    });
  });

  describe("tries one copy of a suspect at a time", () => {
    const OTHERS = ["a", "b", "c", "d", "e", "f"] as Incarnation[];
    const hear = (from: Incarnation, sent: boolean, at: number): void => {
      const tried = [{ content: BAD, sent }];
      const news = { crashes: [], answered: [], holds: [], tried };
      controller.learn(news, from, instant(at));
    };
    const send = (id: string, at: number): void =>
      controller.began({ record: record("e3"), heardAt: undefined }, {
        attempt: id as AttemptId,
        fingerprint: { content: BAD, caller: CALLER },
        path: "/p",
        sentAt: instant(at),
      }, id as RequestId);

    beforeEach(() => {
      end("e1", ["bad"], 0);
      end("e2", ["bad"], 5_000);
    });

    it("after it has claimed the trial, and others wait", () => {
      expect(judge(9_000, "first").kind).toBe("wait");
      expect(told.at(-1)).toMatchObject({
        to: "carriers",
        news: { tried: [{ content: BAD, sent: false }] },
      });
      expect(judge(9_100, "first").kind).toBe("wait");
      expect(judge(9_200, "second").kind).toBe("wait");
      expect(judge(9_200, "first").kind).toBe("free");
      send("first", 9_200);
      expect(told.at(-1)?.news.tried).toEqual([{ content: BAD, sent: true }]);
      expect(judge(9_300, "second").kind).toBe("wait");
      expect(judge(14_200, "second").kind).toBe("wait");
      expect(judge(14_400, "second").kind).toBe("free");
    });

    it("unless another entry's claim goes before its own", () => {
      judge(9_000, "first");
      OTHERS.forEach((from) => hear(from, false, 9_050));
      const verdict = judge(9_200, "first").kind;
      const before = OTHERS.filter((from) =>
        hash32(`bad ${from}`) < hash32("bad me")
      );
      expect(verdict).toBe(before.length > 0 ? "wait" : "free");
    });

    it("and waits for one that a peer has sent", () => {
      judge(9_000, "first");
      hear(OTHERS[0]!, true, 9_050);
      expect(judge(9_200, "first").kind).toBe("wait");
      expect(judge(14_000, "first").kind).toBe("wait");
    });

    it("and claims anew where a claim brought nothing", () => {
      hear(OTHERS[0]!, false, 9_000);
      expect(judge(9_500, "first").kind).toBe("wait");
      judge(9_600, "first");
      expect(judge(9_800, "first").kind).toBe("free");
    });

    it("and goes on at once when the former has ended an endpoint", () => {
      judge(9_000, "first");
      judge(9_200, "first");
      send("first", 9_200);
      end("e4", ["bad"], 9_300);
      judge(9_700, "second");
      expect(judge(9_900, "second").kind).not.toBe("wait");
    });
  });

  it("looks once at the port of an endpoint that many requests were lost with", () => {
    end("e1", Array.from({ length: 60 }, (_, index) => `x${index}`), 0);
    expect(knocks).toEqual(["e1"]);
  });

  it("tells of a bounded number of ends where a zone is lost", () => {
    for (let index = 0; index < 40; index++) {
      end(`e${index}`, [`x${index}`], 0);
    }
    const crashes = told.filter(({ news }) => news.crashes.length > 0);
    expect(crashes.length).toBe(8);
    expect(controller.ends).toBe(40);
  });

  it("names no more requests of an end than a line has room for", () => {
    end("e1", Array.from({ length: 60 }, (_, index) => `x${index}`), 0);
    expect(lines[0]?.fields).toMatchObject({ requests: 60 });
    expect((lines[0]?.fields.quickest as unknown[]).length).toBe(8);
  });

  it("has its operators end a hold, everywhere", () => {
    ["e1", "e2", "e3"].forEach((name, index) =>
      end(name, ["bad"], index * 5_000)
    );
    expect(controller.release(BAD, instant(20_000))).toBe(true);
    expect(judge(20_001).kind).toBe("free");
    expect(told.at(-1)?.news.holds[0]).toMatchObject({ released: true });
    expect(controller.release(BAD, instant(20_002))).toBe(false);
  });
});
