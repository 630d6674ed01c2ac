import { beforeEach, describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  instant,
  type PartDigest,
  partDigest,
  type ServiceId,
} from "../../index.ts";
import type { HoldNotice } from "../quarantine_messages.ts";
import { HoldList, type TrialPermission } from "../hold_list.ts";
import { groupOf } from "../subject.ts";

const BAD = "bad" as ContentDigest;
const CALLER = "c" as CallerDigest;
const SERVICE = "pool" as ServiceId;
const MINUTE_MS = 60_000;

describe("held requests", () => {
  let holds: HoldList;
  let publishedVersions: string[];
  let ownsTrial: boolean;
  const mayTry: TrialPermission = (_subject, excludedVersions) =>
    ownsTrial &&
    publishedVersions.some((version) => !excludedVersions.has(version));
  const decide = (at: number, caller: string = CALLER): string =>
    holds.check(
      { content: BAD, caller: caller as CallerDigest },
      mayTry,
      instant(at),
    ).kind;
  const hold = (at: number, fields: Partial<HoldNotice> = {}): void =>
    holds.hold({
      subject: BAD,
      caller: CALLER,
      service: SERVICE,
      versions: ["v1"],
      ...fields,
    }, instant(at));
  const notice = (at: number): HoldNotice => holds.notice(BAD, instant(at))!;

  beforeEach(() => {
    holds = new HoldList();
    ownsTrial = true;
    publishedVersions = ["v1"];
    hold(0);
  });

  it("go to no endpoint and have a time to wait", () => {
    expect(holds.check({ content: BAD, caller: CALLER }, mayTry, instant(0)))
      .toEqual({ kind: "held", wait: 2 * MINUTE_MS, subjects: [BAD] });
  });

  it("are held for the caller that sent them only", () => {
    expect(decide(0, "another")).toBe("free");
    hold(1, { caller: undefined });
    expect(decide(1, "another")).toBe("held");
  });

  describe("are tried again", () => {
    it("after the hold, by one entry, one at a time", () => {
      ownsTrial = false;
      expect(decide(2 * MINUTE_MS)).toBe("held");
      ownsTrial = true;
      expect(decide(2 * MINUTE_MS)).toBe("limited");
      holds.noteTrial([BAD], instant(2 * MINUTE_MS));
      expect(decide(2 * MINUTE_MS + 1)).toBe("held");
    });

    it("at once on software versions that they have not crashed, and on no others", () => {
      publishedVersions = ["v1", "v2"];
      expect(holds.check({ content: BAD, caller: CALLER }, mayTry, instant(5)))
        .toEqual({ kind: "limited", except: new Set(["v1"]), trial: true });
      hold(6, { versions: ["v2"] });
      expect(decide(7)).toBe("held");
    });

    it("later each time that they crash another endpoint", () => {
      hold(2 * MINUTE_MS);
      expect(decide(5 * MINUTE_MS)).toBe("held");
      expect(decide(6 * MINUTE_MS)).toBe("limited");
    });
  });

  // Guards against trials that go on for as long as a request is sent: each costs all requests of an endpoint.
  it("are not tried again after three trials, on any software version", () => {
    [2, 6, 14].forEach((minute) => {
      expect(decide(minute * MINUTE_MS)).toBe("limited");
      hold(minute * MINUTE_MS);
    });
    publishedVersions = ["v1", "v2"];
    expect(decide(1_000 * MINUTE_MS)).toBe("held");
    holds.release(BAD);
    expect(decide(1_000 * MINUTE_MS)).toBe("free");
  });

  describe("with a part", () => {
    const [X, Y, Z] = ["x", "y", "z"].map(partDigest) as [
      PartDigest,
      PartDigest,
      PartDigest,
    ];
    const decideParts = (...parts: PartDigest[]): string =>
      holds.check(
        {
          content: "c" as ContentDigest,
          caller: "any" as CallerDigest,
          parts,
        },
        () => false,
        instant(1),
      ).kind;

    it("are held whatever else they contain and whoever sends them", () => {
      hold(0, { subject: X });
      expect(decideParts(Z, X, Y)).toBe("held");
      expect(decideParts(Z, Y)).toBe("free");
    });

    it("are held only with all parts of a group", () => {
      hold(0, { subject: groupOf([Y, X]) });
      expect(decideParts(X, Z, Y)).toBe("held");
      expect(decideParts(X, Z)).toBe("free");
      expect(decideParts(Y)).toBe("free");
      holds.release(groupOf([X, Y]));
      expect(decideParts(X, Y)).toBe("free");
    });

    it("show which part of a group is the cause if they are tried without the others", () => {
      const group = groupOf([X, Y]);
      hold(0, { subject: group });
      expect(holds.findPartlyTried(new Set([X]))).toEqual([group]);
      expect(holds.findPartlyTried(new Set([X, Y]))).toEqual([]);
      expect(holds.findPartlyTried(new Set([Z]))).toEqual([]);
    });

    it("are refused for the longest of several holds", () => {
      hold(0, { subject: X });
      hold(0, { subject: Y });
      hold(0, { subject: Y });
      const decision = holds.check(
        {
          content: "c" as ContentDigest,
          caller: "any" as CallerDigest,
          parts: [X, Y],
        },
        () => false,
        instant(0),
      );
      expect(decision).toEqual({
        kind: "held",
        wait: 4 * MINUTE_MS,
        subjects: [X, Y],
      });
    });
  });

  it("are sent to software versions that answered one, and to no others", () => {
    publishedVersions = ["v1", "v2"];
    expect(holds.noteAnswered(BAD, "v2")).toBe(false);
    ownsTrial = false;
    expect(holds.check({ content: BAD, caller: CALLER }, mayTry, instant(5)))
      .toEqual({ kind: "limited", except: new Set(["v1"]), trial: false });
  });

  it("are released once the software version that they crashed answers one", () => {
    expect(holds.noteAnswered(BAD, "v1")).toBe(true);
    expect(decide(1)).toBe("free");
    expect(holds.size).toBe(0);
  });

  it("are removed long after the hold if nobody sends them", () => {
    const removedAt = 242 * MINUTE_MS;
    expect(holds.removeExpired(instant(removedAt - 1))).toEqual([]);
    expect(holds.removeExpired(instant(removedAt))).toEqual([BAD]);
    expect(decide(removedAt)).toBe("free");
  });

  describe("exchanged between entries", () => {
    it("are held for the remaining time by an entry that just started", () => {
      const newEntryHolds = new HoldList();
      expect(newEntryHolds.merge(notice(MINUTE_MS), instant(0))).toBe(true);
      expect(
        newEntryHolds.check(
          { content: BAD, caller: CALLER },
          mayTry,
          instant(0),
        ),
      ).toEqual({ kind: "held", wait: MINUTE_MS, subjects: [BAD] });
    });

    it("are not extended by a delayed message about the same hold", () => {
      const delayed = notice(0);
      holds.merge(delayed, instant(MINUTE_MS));
      expect(decide(2 * MINUTE_MS)).toBe("limited");
    });

    it("are not held again after a message from an entry that missed their release", () => {
      const beforeRelease = notice(1);
      holds.release(BAD);
      expect(holds.merge(beforeRelease, instant(2))).toBe(false);
      expect(decide(2)).toBe("free");
    });

    it("are released at an entry that receives the release", () => {
      const otherHolds = new HoldList();
      otherHolds.merge(notice(1), instant(1));
      holds.release(BAD);
      expect(otherHolds.merge(notice(2), instant(2))).toBe(true);
      expect(otherHolds.size).toBe(0);
    });

    it("are held for all callers if two entries saw different ones", () => {
      holds.merge({ ...notice(0), caller: "d" as CallerDigest }, instant(0));
      expect(decide(0, "e")).toBe("held");
    });
  });

  it("are bounded in number", () => {
    for (let index = 0; index < 10_000; index++) {
      hold(index, { subject: `x${index}` as ContentDigest });
    }
    expect(holds.size).toBe(256);
  });
});
