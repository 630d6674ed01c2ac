import { beforeEach, describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  instant,
  type ServiceId,
} from "../../index.ts";
import type { HoldNotice } from "../quarantine_messages.ts";
import { HoldList, type TrialPermission } from "../hold_list.ts";

const BAD = "bad" as ContentDigest;
const CALLER = "c" as CallerDigest;
const SERVICE = "pool" as ServiceId;
const MINUTE_MS = 60_000;

describe("held requests", () => {
  let holds: HoldList;
  let publishedVersions: string[];
  let ownsTrial: boolean;
  const mayTry: TrialPermission = (excludedVersions) =>
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
      content: BAD,
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
      .toEqual({ kind: "held", wait: 2 * MINUTE_MS });
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
      holds.noteTrial(BAD, instant(2 * MINUTE_MS));
      expect(decide(2 * MINUTE_MS + 1)).toBe("held");
    });

    it("at once on software versions that they have not crashed, and on no others", () => {
      publishedVersions = ["v1", "v2"];
      expect(holds.check({ content: BAD, caller: CALLER }, mayTry, instant(5)))
        .toEqual({ kind: "limited", except: new Set(["v1"]) });
      hold(6, { versions: ["v2"] });
      expect(decide(7)).toBe("held");
    });

    it("later each time that they crash another endpoint", () => {
      hold(2 * MINUTE_MS);
      expect(decide(5 * MINUTE_MS)).toBe("held");
      expect(decide(6 * MINUTE_MS)).toBe("limited");
    });
  });

  it("are sent to software versions that answered one, and to no others", () => {
    publishedVersions = ["v1", "v2"];
    expect(holds.noteAnswered(BAD, "v2")).toBe(false);
    ownsTrial = false;
    expect(holds.check({ content: BAD, caller: CALLER }, mayTry, instant(5)))
      .toEqual({ kind: "limited", except: new Set(["v1"]) });
  });

  it("are released once the software version that they crashed answers one", () => {
    expect(holds.noteAnswered(BAD, "v1")).toBe(true);
    expect(decide(1)).toBe("free");
    expect(holds.size).toBe(0);
  });

  it("are removed long after the hold if nobody sends them", () => {
    expect(holds.removeExpired(instant(3 * MINUTE_MS))).toEqual([]);
    expect(holds.removeExpired(instant(4 * MINUTE_MS))).toEqual([BAD]);
    expect(decide(4 * MINUTE_MS)).toBe("free");
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
      ).toEqual({ kind: "held", wait: MINUTE_MS });
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
      hold(index, { content: `x${index}` as ContentDigest });
    }
    expect(holds.size).toBe(256);
  });
});
