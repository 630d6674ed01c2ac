import { describe, expect, it } from "vitest";
import type { RouteName } from "../../ids/index.ts";
import { StreamEnds } from "../stream_ends.ts";

const CHAT = "chat" as RouteName;

// Guards against long answers that are not complete at their deadline without any counter that shows it.
describe("the ends of streams", () => {
  it("are counted by route and length", () => {
    const ends = new StreamEnds();
    ends.record(CHAT, { events: 3, complete: true });
    ends.record(CHAT, { events: 4, complete: true });
    ends.record(CHAT, { events: 70, complete: false });
    ends.record("review" as RouteName, { events: 1, complete: true });
    expect(ends.list()).toEqual([
      { route: CHAT, maxEvents: 4, complete: 2, unfinished: 0 },
      { route: CHAT, maxEvents: 128, complete: 0, unfinished: 1 },
      { route: "review", maxEvents: 1, complete: 1, unfinished: 0 },
    ]);
  });

  it("count no stream without an event", () => {
    const ends = new StreamEnds();
    ends.record(CHAT, { events: 0, complete: false });
    expect(ends.list()).toEqual([]);
  });

  it("are counted together beyond a number of routes", () => {
    const ends = new StreamEnds();
    for (let index = 0; index < 100; index++) {
      ends.record(`r${index}` as RouteName, { events: 1, complete: true });
    }
    const routes = ends.list();
    expect(routes.length).toBe(65);
    expect(routes[64]).toMatchObject({ route: "other", complete: 36 });
  });
});
