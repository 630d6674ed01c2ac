import { describe, expect, it } from "vitest";
import type { Prompt } from "../messages.ts";
import { expectedOutputTokens } from "../../decode/index.ts";
import { engineWorkMs } from "../prompt_cost.ts";

function prompt(part: Partial<Prompt>): Prompt {
  return {
    model: "m",
    promptTokens: 3_500,
    outputTokens: 1_000,
    outputHint: undefined,
    parts: [],
    ...part,
  };
}

describe("the estimated work of a request", () => {
  // Guards against a busy region that relays nothing to a region with idle engines. Callers allow a
  // thousand tokens and answers have a few hundred: with the longest answer, work was estimated three
  // times too high.
  it("counts the answer that the caller expects, not the longest one", () => {
    const hinted = engineWorkMs(prompt({ outputHint: 100 }), 0.5);
    expect(hinted).toBeCloseTo(50 + 15, 0);
    expect(engineWorkMs(prompt({ outputHint: 1_000 }), 0.5)).toBeGreaterThan(
      2 * hinted,
    );
  });

  it("uses a fraction of the limit if the caller states no expected length", () => {
    expect(expectedOutputTokens(prompt({}))).toBe(350);
  });

  it("caps the expected length at the limit", () => {
    expect(expectedOutputTokens(prompt({ outputHint: 90_000 }))).toBe(1_000);
  });

  it("decreases with the cached part of the prompt", () => {
    const cached = engineWorkMs(prompt({ outputHint: 0 }), 0.2);
    expect(cached).toBeCloseTo(20, 5);
  });
});
