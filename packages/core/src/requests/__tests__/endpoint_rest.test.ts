import { describe, expect, it } from "vitest";
import {
  dispatched,
  ReadyCore,
  refusedFor,
} from "../../__tests__/ready_core.ts";
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

function refuseWithRest(core: ReadyCore, effects: readonly Effect[]): Effect[] {
  const attempt = effects.flatMap((effect): AttemptId[] =>
    effect.kind === "dispatch" ? [effect.attempt.id] : []
  )[0]!;
  core.tell({ kind: "commit", attempt });
  return core.tell({ kind: "attemptEnded", attempt, end: refusedWithRest() });
}

describe("an endpoint that refuses a request with a retry time", () => {
  // Guards against sending requests to an endpoint during a time for which it asked for none by `Retry-After`.
  it("gets no requests until then, even if no other endpoint is available", () => {
    const core = new ReadyCore(ENDPOINTS);
    const first = core.send({ service: "lookup" }).effects;
    const second = refuseWithRest(core, first);
    expect(new Set([...dispatched(first), ...dispatched(second)]))
      .toEqual(new Set(["e1", "e2"]));
    refuseWithRest(core, second);
    core.pass(REST_MS - 100);
    const { effects } = core.send({ service: "lookup" });
    expect(dispatched(effects)).toEqual([]);
    expect(refusedFor(effects)).toBeDefined();
    core.pass(200);
    expect(dispatched(core.send({ service: "lookup" }).effects).length).toBe(1);
  });
});
