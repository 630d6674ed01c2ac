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
import { AnswerHistory } from "../answer_history.ts";

const BAD = "bad" as ContentDigest;

const SHORT_EXPOSURE_MS = 100;

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
      content: content as ContentDigest,
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
    const findRequests = (exposure: number): ContentDigest[] => {
      const history = new CrashHistory();
      TIMES_MS.forEach((at, index) => {
        const crash = report(`e${index}`, "bad");
        const [request] = crash.victims;
        const otherCopy = { ...request!, exposure: milliseconds(exposure) };
        const trial = { ...crash, victims: [{ ...request!, trial: true }] };
        history.add(trial, instant(at));
        history.add({ ...crash, victims: [otherCopy] }, instant(at));
      });
      return history.findCrashingRequests(() => false).map(({ content }) =>
        content
      );
    };

    it("are evidence against it if both copies had just been sent", () => {
      expect(findRequests(SHORT_EXPOSURE_MS)).toEqual([BAD]);
    });

    it("are no evidence if one copy had run there for a long time", () => {
      expect(findRequests(20_000)).toEqual([]);
    });
  });

  it("are evidence for some minutes only", () => {
    const history = new CrashHistory();
    history.add(report("e1", "bad"), instant(0));
    history.add(report("e2", "bad"), instant(200_000));
    expect(history.crashCount(BAD)).toBe(2);
    history.add(report("e3", "other"), instant(301_000));
    expect(history.crashCount(BAD)).toBe(1);
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

describe("recently answered requests", () => {
  const POPULAR = "popular" as ContentDigest;

  it("are remembered for half a minute to a minute", () => {
    const answers = new AnswerHistory();
    answers.add(POPULAR, instant(0));
    expect(answers.has(POPULAR, instant(29_000))).toBe(true);
    expect(answers.has(POPULAR, instant(61_000))).toBe(false);
  });

  it("are remembered during a flood of others as long as they keep being answered", () => {
    const answers = new AnswerHistory();
    for (let index = 0; index < 20_000; index++) {
      answers.add(`x${index}` as ContentDigest, instant(index));
      if (index % 1_000 === 0) {
        answers.add(POPULAR, instant(index));
      }
    }
    expect(answers.has(POPULAR, instant(20_000))).toBe(true);
    expect(answers.has("x10" as ContentDigest, instant(20_000))).toBe(false);
  });
});
