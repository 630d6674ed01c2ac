import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type Incarnation,
  instant,
  type ZoneId,
} from "../../index.ts";
import type { EndpointState } from "../endpoint_state.ts";
import type { Prompt } from "../messages.ts";
import { createEngine } from "./engine_fixture.ts";
import {
  chooseEndpoint,
  findPrefixHolder,
  MAX_PREFILL_BACKLOG_MS,
  type PlacementRequest,
} from "../endpoint_placement.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS } from "../prompt_cost.ts";

const LONG = Math.floor(
  MAX_PREFILL_BACKLOG_MS * DEFAULT_PREFILL_TOKENS_PER_MS * 0.9,
);
const SHARED = { id: "s", tokens: 4_000 };

function prompt(tokens: number, shared = false): Prompt {
  return {
    model: "m",
    promptTokens: tokens,
    outputTokens: 50,
    outputHint: undefined,
    parts: shared
      ? [SHARED, { id: "own", tokens: tokens - SHARED.tokens }]
      : [],
  };
}

function request(
  requested: Prompt,
  states: readonly EndpointState[],
): PlacementRequest {
  return {
    prompt: requested,
    zone: "z1" as ZoneId,
    urgent: false,
    endsAt: instant(10_000),
    biasOf: () => 0,
    holder: findPrefixHolder(requested, states),
  };
}

let attempts = 0;
function send(state: EndpointState, prefill: number, at: number): AttemptId {
  attempts++;
  const id = `a${attempts}` as AttemptId;
  state.addAttempt(id, { prefill, tokens: prefill }, instant(at));
  return id;
}

describe("the choice of an engine", () => {
  let engine1: EndpointState;
  let engine2: EndpointState;

  beforeEach(() => {
    engine1 = createEngine("e1");
    engine2 = createEngine("e2");
  });

  const chosen = (
    requested: Prompt,
    states: readonly EndpointState[],
    at: number,
  ): string => {
    const found = chooseEndpoint(
      request(requested, states),
      states,
      instant(at),
    );
    return found.kind === "chosen" ? found.state.record.id : found.kind;
  };

  it("prefers the engine with the least pending prefill", () => {
    send(engine1, 2_000, 0);
    expect(chosen(prompt(3_000), [engine1, engine2], 1)).toBe("e2");
  });

  it("prefers the engine that has the prefix cached", () => {
    engine2.prefixes.recordUse([SHARED]);
    expect(chosen(prompt(6_000, true), [engine1, engine2], 1)).toBe("e2");
  });

  it("has the prefix fetched if its holder is busy", () => {
    engine2.prefixes.recordUse([SHARED]);
    send(engine2, LONG, 0);
    const states = [engine1, engine2];
    const found = chooseEndpoint(
      request(prompt(6_000, true), states),
      states,
      instant(1),
    );
    expect(found).toMatchObject({
      kind: "chosen",
      state: engine1,
      fetchFrom: engine2,
      prefill: 2_000,
    });
  });

  // Guards against streams that pause beside long prompts for longer than their objective. A step with
  // prefill takes 100 ms and an event takes several steps, so that long prompts must not be prefilled one
  // right after the other.
  it("gives no long prompt to an engine that would prefill for too long without a pause", () => {
    send(engine1, LONG, 0);
    expect(chosen(prompt(LONG), [engine1], 1)).toBe("busy");
    expect(chosen(prompt(800), [engine1], 1)).toBe("e1");
  });

  // Guards against long prompts that wait for an engine without pending prefill, which short ones never leave.
  it("gives a long prompt to an engine with little pending prefill", () => {
    send(engine1, 1_000, 0);
    expect(chosen(prompt(30_000), [engine1], 1)).toBe("e1");
  });

  // Guards against long prompts beside an answer that can't be complete in time any more.
  it("gives no long prompt to an engine whose answers are behind", () => {
    const id = send(engine1, 2_000, 0);
    engine1.noteFirstEvent(id, instant(2_000));
    expect(chosen(prompt(5_000), [engine1], 2_100)).toBe("e1");
    engine1.answers.setPeerPressure("p" as Incarnation, 2);
    expect(chosen(prompt(5_000), [engine1], 2_100)).toBe("busy");
    expect(chosen(prompt(500), [engine1], 2_100)).toBe("e1");
  });

  it("pauses prefill on an engine while streams run there", () => {
    send(engine1, 500, 0);
    const long = send(engine1, LONG, 0);
    engine1.noteFirstEvent(long, instant(250));
    engine1.noteFirstEvent(`a${attempts - 1}` as AttemptId, instant(250));
    expect(chosen(prompt(LONG), [engine1], 255)).toBe("busy");
    expect(chosen(prompt(800), [engine1], 255)).toBe("e1");
    expect(chosen(prompt(LONG), [engine1], 340)).toBe("e1");
  });

  it("counts the prompts that peers reported", () => {
    const reported = { endpoint: engine1.record.id, requests: 1, tokens: LONG };
    engine1.applyPeerWork({ ...reported, prefill: LONG }, 1, instant(0));
    expect(chosen(prompt(LONG), [engine1], 1)).toBe("busy");
    engine1.applyPeerWork({ ...reported, prefill: LONG }, -1, instant(2));
    expect(engine1.prefill).toBe(0);
  });

  it("does not overfill an engine's memory", () => {
    send(engine1, 0, 0);
    engine1.addAttempt(
      "big" as AttemptId,
      { prefill: 0, tokens: 175_000 },
      instant(0),
    );
    expect(chosen(prompt(9_000), [engine1], 1)).toBe("busy");
    expect(chosen(prompt(9_000), [engine1, engine2], 1)).toBe("e2");
  });

  it("avoids an engine whose answers fail", () => {
    for (let index = 0; index < 8; index++) {
      engine1.health.recordOutcome("failed", instant(index));
    }
    expect(chosen(prompt(1_000), [engine1, engine2], 10)).toBe("e2");
  });

  it("stays in the own zone as long as that costs little", () => {
    const other = createEngine("e3", { zone: "z2" });
    expect(chosen(prompt(1_000), [other, engine1], 1)).toBe("e1");
    send(engine1, LONG, 0);
    expect(chosen(prompt(3_000), [other, engine1], 1)).toBe("e3");
  });
});
