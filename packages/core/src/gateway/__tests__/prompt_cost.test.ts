import { describe, expect, it } from "vitest";
import type { Prompt } from "../messages.ts";
import { engineWork, expectedOutput } from "../prompt_cost.ts";

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

describe("the work of a request", () => {
  /**
   * Symptom: a region full of requests relays none to one whose engines are idle.
   * Sequence: callers allow for a thousand tokens, and answers have a few hundred.
   * Cause: work was counted with the longest answer allowed, three times what engines do.
   */
  it("counts the answer that the caller expects, not the longest one", () => {
    const hinted = engineWork(prompt({ outputHint: 100 }), 0.5);
    expect(hinted).toBeCloseTo(50 + 15, 0);
    expect(engineWork(prompt({ outputHint: 1_000 }), 0.5)).toBeGreaterThan(
      2 * hinted,
    );
  });

  it("takes a part of the limit where nothing is expected", () => {
    expect(expectedOutput(prompt({}))).toBe(350);
  });

  it("believes no expectation beyond the limit", () => {
    expect(expectedOutput(prompt({ outputHint: 90_000 }))).toBe(1_000);
  });

  it("falls with the part of the prompt that is cached", () => {
    const cached = engineWork(prompt({ outputHint: 0 }), 0.2);
    expect(cached).toBeCloseTo(20, 5);
  });
});
