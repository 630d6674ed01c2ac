import { describe, expect, it } from "vitest";
import { type ContentDigest, instant, partDigest } from "../../index.ts";
import { RecentAnswers } from "../recent_answers.ts";

describe("recently answered requests", () => {
  const POPULAR = "popular" as ContentDigest;

  it("are remembered for half a minute to a minute", () => {
    const answers = new RecentAnswers();
    answers.add({ content: POPULAR }, instant(0));
    expect(answers.hasRequest(POPULAR, instant(29_000))).toBe(true);
    expect(answers.hasRequest(POPULAR, instant(61_000))).toBe(false);
  });

  it("are remembered during a flood of others as long as they keep being answered", () => {
    const answers = new RecentAnswers();
    for (let index = 0; index < 20_000; index++) {
      const content = `x${index}` as ContentDigest;
      answers.add({ content }, instant(index));
      if (index % 1_000 === 0) {
        answers.add({ content: POPULAR }, instant(index));
      }
    }
    expect(answers.hasRequest(POPULAR, instant(20_000))).toBe(true);
    const early = "x10" as ContentDigest;
    expect(answers.hasRequest(early, instant(20_000))).toBe(false);
  });
});

describe("recently answered parts", () => {
  const FIRST = partDigest("first");
  const answer = (id: number) => ({
    content: `x${id}` as ContentDigest,
    parts: [FIRST, partDigest(`p${id}`)],
  });

  it("are not suspected for a few seconds", () => {
    const answers = new RecentAnswers();
    answers.add(answer(1), instant(0));
    expect(answers.hasPart(FIRST, instant(2_000))).toBe(true);
    expect(answers.hasPart(FIRST, instant(3_000))).toBe(false);
    expect(answers.lastAnswerTo(FIRST)).toBe(0);
  });

  it("are bounded in number, and popular ones are kept", () => {
    const answers = new RecentAnswers();
    for (let id = 0; id < 20_000; id++) {
      answers.add(answer(id), instant(id));
    }
    const known = Array.from(
      { length: 20_000 },
      (_, id) => answers.lastAnswerTo(partDigest(`p${id}`)),
    ).filter((at) => at !== undefined);
    expect(known).toHaveLength(4_095);
    expect(answers.lastAnswerTo(FIRST)).toBe(19_999);
  });
});
