import { beforeEach, describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  instant,
  type ServiceId,
} from "../../index.ts";
import type { HoldNotice } from "../quarantine_messages.ts";
import { HoldList, type MayTry } from "../hold_list.ts";

const BAD = "bad" as ContentDigest;
const CALLER = "c" as CallerDigest;
const SERVICE = "pool" as ServiceId;
const MINUTE = 60_000;

describe("held requests", () => {
  let holds: HoldList;
  let published: string[];
  let owner: boolean;
  const mayTry: MayTry = (tested) =>
    owner && published.some((version) => !tested.has(version));
  const judge = (at: number, caller: string = CALLER): string =>
    holds.judge(
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
    owner = true;
    published = ["v1"];
    hold(0);
  });

  it("go to no endpoint, and say for how long", () => {
    expect(holds.judge({ content: BAD, caller: CALLER }, mayTry, instant(0)))
      .toEqual({ kind: "held", wait: 2 * MINUTE });
  });

  it("are those of the caller alone who sent them", () => {
    expect(judge(0, "another")).toBe("free");
    hold(1, { caller: undefined });
    expect(judge(1, "another")).toBe("held");
  });

  describe("are tried again", () => {
    it("after their time, by one entry, one at a time", () => {
      owner = false;
      expect(judge(2 * MINUTE)).toBe("held");
      owner = true;
      expect(judge(2 * MINUTE)).toBe("limited");
      holds.noteTrial(BAD, instant(2 * MINUTE));
      expect(judge(2 * MINUTE + 1)).toBe("held");
    });

    it("at once on software that they have not ended, and on nothing else", () => {
      published = ["v1", "v2"];
      expect(holds.judge({ content: BAD, caller: CALLER }, mayTry, instant(5)))
        .toEqual({ kind: "limited", except: new Set(["v1"]) });
      hold(6, { versions: ["v2"] });
      expect(judge(7)).toBe("held");
    });

    it("later each time that they end an endpoint again", () => {
      hold(2 * MINUTE);
      expect(judge(5 * MINUTE)).toBe("held");
      expect(judge(6 * MINUTE)).toBe("limited");
    });
  });

  it("go on to software that has answered one, and not to what has not", () => {
    published = ["v1", "v2"];
    expect(holds.noteAnswered(BAD, "v2")).toBe(false);
    owner = false;
    expect(holds.judge({ content: BAD, caller: CALLER }, mayTry, instant(5)))
      .toEqual({ kind: "limited", except: new Set(["v1"]) });
  });

  it("are free once an endpoint of the software that they ended answers one", () => {
    expect(holds.noteAnswered(BAD, "v1")).toBe(true);
    expect(judge(1)).toBe("free");
    expect(holds.size).toBe(0);
  });

  it("are forgotten when nobody sends them long after their time", () => {
    expect(holds.forget(instant(3 * MINUTE))).toEqual([]);
    expect(holds.forget(instant(4 * MINUTE))).toEqual([BAD]);
    expect(judge(4 * MINUTE)).toBe("free");
  });

  describe("as entries tell each other", () => {
    it("are held for the time that is left, by one that starts anew", () => {
      const anew = new HoldList();
      expect(anew.learn(notice(MINUTE), instant(0))).toBe(true);
      expect(
        anew.judge({ content: BAD, caller: CALLER }, mayTry, instant(0)),
      ).toEqual({ kind: "held", wait: MINUTE });
    });

    it("are not prolonged by late word of the same hold", () => {
      const early = notice(0);
      holds.learn(early, instant(MINUTE));
      expect(judge(2 * MINUTE)).toBe("limited");
    });

    it("do not come back with one that was cut off when they were released", () => {
      const cutOff = notice(1);
      holds.release(BAD);
      expect(holds.learn(cutOff, instant(2))).toBe(false);
      expect(judge(2)).toBe("free");
    });

    it("are released where word of that arrives", () => {
      const other = new HoldList();
      other.learn(notice(1), instant(1));
      holds.release(BAD);
      expect(other.learn(notice(2), instant(2))).toBe(true);
      expect(other.size).toBe(0);
    });

    it("are held from all callers where two entries saw different ones", () => {
      holds.learn({ ...notice(0), caller: "d" as CallerDigest }, instant(0));
      expect(judge(0, "e")).toBe("held");
    });
  });

  it("are bounded, whoever brings about how many", () => {
    for (let index = 0; index < 10_000; index++) {
      hold(index, { content: `x${index}` as ContentDigest });
    }
    expect(holds.size).toBe(256);
  });
});
