import { describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  instant,
  milliseconds,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import { CrashHistory } from "../crash_history.ts";
import type { CrashReport } from "../quarantine_messages.ts";
import type { CrashSubject } from "../subject.ts";

const BAD = "bad" as ContentDigest;

const SHORT_EXPOSURE_MS = 100;
/** Time after which every entry has reported its part of a crash. */
const SETTLED_MS = 300;

function report(endpoint: string, ...contents: string[]): CrashReport {
  return {
    endpoint: endpoint as EndpointId,
    life: undefined,
    service: "pool" as ServiceId,
    zone: "z" as ZoneId,
    softwareVersion: "v1",
    age: milliseconds(0),
    others: 4,
    victims: contents.map((content) => ({
      subject: content as ContentDigest,
      caller: "c" as CallerDigest,
      exposure: milliseconds(SHORT_EXPOSURE_MS),
      trial: false,
    })),
  };
}

describe("crashes of endpoints", () => {
  it("count once, however many entries report them", () => {
    const history = new CrashHistory();
    history.add(report("e1", "bad"), instant(0));
    history.add(report("e1", "bad", "a"), instant(10));
    expect(history.crashCount(BAD)).toBe(1);
  });

  it("count separately if an endpoint crashes again under the same id", () => {
    const history = new CrashHistory();
    history.add(report("e1", "bad"), instant(0));
    history.add(report("e1", "bad"), instant(7_000));
    history.add(report("e1", "a"), instant(7_500));
    expect(history.crashCount(BAD)).toBe(2);
  });

  it("are no evidence against a request that was answered later", () => {
    const history = new CrashHistory();
    history.add(report("e1", "bad"), instant(0));
    history.add(report("e2", "bad"), instant(10));
    history.noteAnswered(BAD, instant(20));
    history.add(report("e3", "bad"), instant(30));
    expect(history.crashCount(BAD)).toBe(1);
  });

  describe("with copies of a request from two entries", () => {
    const TIMES_MS = [0, 30_000, 60_000];
    const findRequests = (exposure: number): CrashSubject[] => {
      const history = new CrashHistory();
      TIMES_MS.forEach((at, index) => {
        const crash = report(`e${index}`, "bad");
        const [request] = crash.victims;
        const otherCopy = { ...request!, exposure: milliseconds(exposure) };
        const trial = { ...crash, victims: [{ ...request!, trial: true }] };
        history.add(trial, instant(at));
        history.add({ ...crash, victims: [otherCopy] }, instant(at));
      });
      history.takeSettled(instant(TIMES_MS.at(-1)! + SETTLED_MS));
      return history.findCrashingSubjects(() => []).map((
        { subject },
      ) => subject);
    };

    it("are evidence against it if both copies had just been sent", () => {
      expect(findRequests(SHORT_EXPOSURE_MS)).toEqual([BAD]);
    });

    it("are no evidence if one copy had run there for a long time", () => {
      expect(findRequests(20_000)).toEqual([]);
    });
  });

  it("are evidence for half an hour only", () => {
    const history = new CrashHistory();
    history.add(report("e1", "bad"), instant(0));
    history.add(report("e2", "bad"), instant(1_700_000));
    expect(history.crashCount(BAD)).toBe(2);
    history.add(report("e3", "other"), instant(1_801_000));
    expect(history.crashCount(BAD)).toBe(1);
  });

  // Guards against holding what only the first of several reports lists, since the cause is in another.
  it("are analysed once all entries have reported them", () => {
    const history = new CrashHistory();
    const tried = (endpoint: string, name: string): CrashReport => {
      const crash = report(endpoint, name);
      return { ...crash, victims: [{ ...crash.victims[0]!, trial: true }] };
    };
    const find = (at: number): number => {
      history.takeSettled(instant(at));
      return history.findCrashingSubjects(() => []).length;
    };
    [0, 30_000, 60_000].forEach((at) =>
      history.add(tried(`e${at}`, "bad"), instant(at))
    );
    expect(history.isSettling(BAD)).toBe(true);
    expect(find(60_000 + SETTLED_MS - 1)).toBe(0);
    expect(find(60_000 + SETTLED_MS)).toBe(1);
    expect(history.isSettling(BAD)).toBe(false);
  });

  it("are bounded in number, and so are the requests of each", () => {
    const history = new CrashHistory();
    const many = Array.from({ length: 10_000 }, (_, index) => `x${index}`);
    history.add(report("e1", ...many), instant(0));
    const known = many.filter((name) => history.has(name as ContentDigest));
    expect(known.length).toBe(256);
    for (let index = 0; index < 10_000; index++) {
      history.add(report(`e${index}`, `y${index}`), instant(1));
    }
    const knownLater = Array.from(
      { length: 10_000 },
      (_, index) => history.has(`y${index}` as ContentDigest),
    );
    expect(knownLater.filter(Boolean).length).toBe(128);
  });
});
