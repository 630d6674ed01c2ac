import { describe, expect, it } from "vitest";
import {
  CoreFixture,
  dispatchedTargets,
  refusalReason,
} from "../../__tests__/core_fixture.ts";
import {
  type AttemptEnd,
  type AttemptId,
  type Effect,
  milliseconds,
} from "../../index.ts";

const ENDPOINTS = ["e1", "e2"].map((id) => ({ id, pool: "lookup" }));
const REST_MS = 3_000;

function refusedWithRest(): AttemptEnd {
  return {
    kind: "answered",
    answer: { status: 503, contentType: "text/plain", body: "" },
    retryAfter: milliseconds(REST_MS),
  };
}

function refuseWithRest(
  core: CoreFixture,
  effects: readonly Effect[],
): Effect[] {
  const attempt = effects.flatMap((effect): AttemptId[] =>
    effect.kind === "dispatch" ? [effect.attempt.id] : []
  )[0]!;
  core.handle({ kind: "commit", attempt });
  return core.handle({ kind: "attemptEnded", attempt, end: refusedWithRest() });
}

describe("an endpoint that refuses a request with a retry time", () => {
  // Guards against sending requests to an endpoint during a time for which it asked for none by `Retry-After`.
  it("gets no requests until then, even if no other endpoint is available", () => {
    const core = new CoreFixture(ENDPOINTS);
    const first = core.sendRequest({ service: "lookup" }).effects;
    const second = refuseWithRest(core, first);
    expect(new Set([...dispatchedTargets(first), ...dispatchedTargets(second)]))
      .toEqual(new Set(["e1", "e2"]));
    refuseWithRest(core, second);
    core.advance(REST_MS - 100);
    const { effects } = core.sendRequest({ service: "lookup" });
    expect(dispatchedTargets(effects)).toEqual([]);
    expect(refusalReason(effects)).toBeDefined();
    core.advance(200);
    expect(
      dispatchedTargets(core.sendRequest({ service: "lookup" }).effects).length,
    ).toBe(1);
  });
});
