import { describe, expect, it } from "vitest";
import { instant, type RouteName } from "../../ids/index.ts";
import { SizeOutcomes } from "../size_outcomes.ts";

const CHAT = "chat" as RouteName;
const NONE = { complete: 0, unfinished: 0, unserved: 0 };

// Guards against large requests that aren't served without any counter that shows it.
describe("the ends of requests", () => {
  it("are counted by route, prompt and length of the answer", () => {
    const outcomes = new SizeOutcomes();
    outcomes.record(CHAT, "complete", { promptTokens: 900, events: 3 });
    outcomes.record(CHAT, "unfinished", { promptTokens: 1_024, events: 70 });
    outcomes.record(CHAT, "unserved", { promptTokens: 9_000, events: 0 });
    expect(outcomes.list()).toEqual([
      { route: CHAT, measure: "events", upTo: 4, ...NONE, complete: 1 },
      { route: CHAT, measure: "events", upTo: 128, ...NONE, unfinished: 1 },
      {
        route: CHAT,
        measure: "prompt",
        upTo: 1_024,
        ...NONE,
        complete: 1,
        unfinished: 1,
      },
      { route: CHAT, measure: "prompt", upTo: 16_384, ...NONE, unserved: 1 },
    ]);
  });

  it("are counted together beyond a number of routes", () => {
    const outcomes = new SizeOutcomes();
    for (let index = 0; index < 100; index++) {
      const route = `r${index}` as RouteName;
      outcomes.record(route, "unserved", { promptTokens: 1, events: 0 });
    }
    const list = outcomes.list();
    expect(list.length).toBe(65);
    expect(list[64]).toMatchObject({ route: "other", unserved: 36 });
  });

  it("are logged from time to time, if there are new ones", () => {
    const outcomes = new SizeOutcomes();
    const size = { promptTokens: 1, events: 1 };
    outcomes.record(CHAT, "complete", size);
    expect(outcomes.takeLogged(instant(0))).toBe(undefined);
    expect(outcomes.takeLogged(instant(10_000))?.length).toBe(2);
    expect(outcomes.takeLogged(instant(20_000))).toBe(undefined);
    outcomes.record(CHAT, "complete", size);
    expect(outcomes.takeLogged(instant(20_001))?.[0]?.complete).toBe(2);
  });
});
