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

/** More than the buffers of the sockets on the way hold. */
const EVENTS = 130_000;
const HELD_MS = 300;

const FRAMINGS: readonly Framing[] = ["chunked", "length", "none"];
const STOPS: readonly Stop[] = ["whole", "closed", "reset"];
const PATHS = ["/resume/x", "/once/x"];

// Slow callers crossed with each way that their endpoint can stop meanwhile.
describe("a slow caller whose endpoint stops", () => {
  const plans = new Map<string, RunScript>();
  const whole: RunScript = { events: EVENTS };
  const seen = new Set<string>();
  const script = ({ call }: RawRequest): RunScript => {
    const first = !seen.has(call);
    seen.add(call);
    return first ? plans.get(call)! : whole;
  };
  const engines = ["i-1", "i-2", "i-3"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const cases = FRAMINGS.flatMap((framing) =>
    STOPS.flatMap((stop) => PATHS.map((path) => ({ framing, stop, path })))
  ).map((facts, index) => ({ ...facts, call: `x${index}` }));

  it.each(cases)("$framing, $stop, $path", async (facts) => {
    const { call, path, framing, stop } = facts;
    const all = eventsOf(call, { count: EVENTS });
    const stopAt = all.length - 100;
    plans.set(call, { events: EVENTS, framing, stop, stopAt });
    let held = false;
    const answer = await fleet.ask(call, {
      path,
      onBytes: () => {
        const first = !held;
        held = true;
        return first ? pause(HELD_MS) : undefined;
      },
    });
    expect(faultOf(answer, { whole: all })).toBe(undefined);
    const canBeWhole = stop === "whole" || path === "/resume/x";
    expect(answer.end).toBe(canBeWhole ? "whole" : "broken");
  });
});
