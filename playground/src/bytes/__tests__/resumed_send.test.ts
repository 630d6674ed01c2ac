import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  RawEngine,
  type RawRequest,
  type RunScript,
} from "../index.ts";

const EVENTS = 6;
const TORN_AT = eventsOf("r1", { count: 2 }).length + 9;
const FULL = 503;

describe("a stream that goes on elsewhere", () => {
  /** What becomes of each send of a call, the last of them for all that follow. */
  const plans = new Map<string, RunScript[]>();
  const script = ({ call }: RawRequest): RunScript => {
    const plan = plans.get(call)!;
    return plan.length > 1 ? plan.shift()! : plan[0]!;
  };
  const engines = ["i-1", "i-2", "i-3", "i-4"].map((id) =>
    new RawEngine(id, script)
  );
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
    attempts: 4,
  });
  const torn: RunScript = { events: EVENTS, stop: "closed", stopAt: TORN_AT };
  const refused: RunScript = { events: EVENTS, status: FULL, notRun: true };
  const good: RunScript = { events: EVENTS };

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  // A stream was broken off although other endpoints stood idle: the one that it was to go on at had no place
  // for it and said that it had not run it. Only a failure there made it try another.
  it.each([
    { call: "r1", name: "is turned away once", refusals: [refused] },
    { call: "r2", name: "is turned away twice", refusals: [refused, refused] },
  ])("finds another way where it $name", async ({ call, refusals }) => {
    plans.set(call, [torn, ...refusals, good]);
    const answer = await fleet.ask(call);
    const whole = eventsOf(call, { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(answer.end).toBe("whole");
  });

  it("ends visibly where all turn it away", async () => {
    plans.set("r3", [torn, refused]);
    const answer = await fleet.ask("r3");
    const whole = eventsOf("r3", { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(answer.end).toBe("broken");
  });
});
