import { setTimeout as pause } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  type Framing,
  RawEngine,
  type RawRequest,
  type RunScript,
  type Stop,
} from "../index.ts";

/** More than the buffers of all sockets on the path hold. */
const EVENTS = 130_000;
const READ_PAUSE_MS = 300;

const FRAMINGS: readonly Framing[] = ["chunked", "length", "none"];
const STOPS: readonly Stop[] = ["whole", "closed", "reset"];
const PATHS = ["/resume/x", "/once/x"];

// Combines slow callers with every framing and with endpoints that complete, close or reset their stream meanwhile.
describe("a slow caller whose endpoint stops", () => {
  const scriptsByCall = new Map<string, RunScript>();
  const complete: RunScript = { events: EVENTS };
  const startedCalls = new Set<string>();
  const script = ({ call }: RawRequest): RunScript => {
    const first = !startedCalls.has(call);
    startedCalls.add(call);
    return first ? scriptsByCall.get(call)! : complete;
  };
  const engines = ["i-1", "i-2", "i-3"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const cases = FRAMINGS.flatMap((framing) =>
    STOPS.flatMap((stop) => PATHS.map((path) => ({ framing, stop, path })))
  ).map((combination, index) => ({ ...combination, call: `x${index}` }));

  it.each(cases)("$framing, $stop, $path", async (testCase) => {
    const { call, path, framing, stop } = testCase;
    const fullBody = eventsOf(call, { count: EVENTS });
    const stopAt = fullBody.length - 100;
    scriptsByCall.set(call, { events: EVENTS, framing, stop, stopAt });
    let paused = false;
    const answer = await fleet.ask(call, {
      path,
      onBytes: () => {
        const first = !paused;
        paused = true;
        return first ? pause(READ_PAUSE_MS) : undefined;
      },
    });
    expect(faultOf(answer, { whole: fullBody })).toBe(undefined);
    const endsWhole = stop === "whole" || path === "/resume/x";
    expect(answer.end).toBe(endsWhole ? "whole" : "broken");
  });
});
