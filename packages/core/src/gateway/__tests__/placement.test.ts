import { beforeEach, describe, expect, it } from "vitest";
import { type AttemptId, instant, type ZoneId } from "../../index.ts";
import type { EndpointState } from "../endpoint_state.ts";
import type { Prompt } from "../messages.ts";
import { engine } from "./engine_fixture.ts";
import { findHolder, place, READ_AHEAD_MS, type Work } from "../placement.ts";
import { DEFAULT_PREFILL_RATE } from "../prompt_cost.ts";

const LONG = Math.floor(READ_AHEAD_MS * DEFAULT_PREFILL_RATE * 0.9);
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

function work(asked: Prompt, states: readonly EndpointState[]): Work {
  return {
    prompt: asked,
    zone: "z1" as ZoneId,
    urgent: false,
    biasOf: () => 0,
    holder: findHolder(asked, states),
  };
}

let attempts = 0;
function send(state: EndpointState, prefill: number, at: number): AttemptId {
  attempts++;
  const id = `a${attempts}` as AttemptId;
  state.begin(id, { prefill, tokens: prefill }, instant(at));
  return id;
}

describe("the choice of an engine", () => {
  let one: EndpointState;
  let two: EndpointState;

  beforeEach(() => {
    one = engine("e1");
    two = engine("e2");
  });

  const chosen = (
    asked: Prompt,
    states: readonly EndpointState[],
    at: number,
  ): string => {
    const found = place(work(asked, states), states, instant(at));
    return found.kind === "chosen" ? found.state.record.id : found.kind;
  };

  it("takes the one with the least to read", () => {
    send(one, 2_000, 0);
    expect(chosen(prompt(3_000), [one, two], 1)).toBe("e2");
  });

  it("keeps to the engine that has the prefix", () => {
    two.prefixes.use([SHARED]);
    expect(chosen(prompt(6_000, true), [one, two], 1)).toBe("e2");
  });

  it("has the prefix fetched where its holder is busy", () => {
    two.prefixes.use([SHARED]);
    send(two, LONG, 0);
    const states = [one, two];
    const found = place(
      work(prompt(6_000, true), states),
      states,
      instant(1),
    );
    expect(found).toMatchObject({
      kind: "chosen",
      state: one,
      fetchFrom: two,
      prefill: 2_000,
    });
  });

  /**
   * Symptom: streams pause for longer than their objective beside long prompts.
   * Sequence: prompts are sent to an engine one behind the other as it has room.
   * Cause: each step that reads takes a hundred milliseconds, and an event is several steps.
   */
  it("gives no long prompt to an engine that would read for too long in a row", () => {
    send(one, LONG, 0);
    expect(chosen(prompt(LONG), [one], 1)).toBe("busy");
    expect(chosen(prompt(800), [one], 1)).toBe("e1");
  });

  it("lets an engine rest after it has read, while streams run there", () => {
    send(one, 500, 0);
    const long = send(one, LONG, 0);
    one.firstEvent(long, instant(250));
    one.firstEvent(`a${attempts - 1}` as AttemptId, instant(250));
    expect(chosen(prompt(LONG), [one], 255)).toBe("busy");
    expect(chosen(prompt(800), [one], 255)).toBe("e1");
    expect(chosen(prompt(LONG), [one], 340)).toBe("e1");
  });

  it("counts what peers told of their own prompts", () => {
    const told = { endpoint: one.record.id, requests: 1, tokens: LONG };
    one.countPeer({ ...told, prefill: LONG }, 1, instant(0));
    expect(chosen(prompt(LONG), [one], 1)).toBe("busy");
    one.countPeer({ ...told, prefill: LONG }, -1, instant(2));
    expect(one.prefill).toBe(0);
  });

  it("does not overfill an engine's memory", () => {
    send(one, 0, 0);
    one.begin(
      "big" as AttemptId,
      { prefill: 0, tokens: 175_000 },
      instant(0),
    );
    expect(chosen(prompt(9_000), [one], 1)).toBe("busy");
    expect(chosen(prompt(9_000), [one, two], 1)).toBe("e2");
  });

  it("leaves the one whose answers fail", () => {
    for (let index = 0; index < 8; index++) {
      one.health.note("failed", instant(index));
    }
    expect(chosen(prompt(1_000), [one, two], 10)).toBe("e2");
  });

  it("stays in the zone for as long as that costs little", () => {
    const other = engine("e3", "z2");
    expect(chosen(prompt(1_000), [other, one], 1)).toBe("e1");
    send(one, LONG, 0);
    expect(chosen(prompt(3_000), [other, one], 1)).toBe("e3");
  });
});
