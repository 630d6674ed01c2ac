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
const CUT_AT_BYTE = eventsOf("r1", { count: 2 }).length + 9;
const UNAVAILABLE = 503;

describe("a stream that goes on elsewhere", () => {
  /** By call id: the scripts of its attempts; the last one applies to all further attempts. */
  const scriptsByCall = new Map<string, RunScript[]>();
  const script = ({ call }: RawRequest): RunScript => {
    const scripts = scriptsByCall.get(call)!;
    return scripts.length > 1 ? scripts.shift()! : scripts[0]!;
  };
  const engines = ["i-1", "i-2", "i-3", "i-4"].map((id) =>
    new RawEngine(id, script)
  );
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
    attempts: 4,
  });
  const torn: RunScript = {
    events: EVENTS,
    stop: "closed",
    stopAt: CUT_AT_BYTE,
  };
  const refused: RunScript = {
    events: EVENTS,
    status: UNAVAILABLE,
    notRun: true,
  };
  const complete: RunScript = { events: EVENTS };

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  // Guards against breaking off a stream while other endpoints are idle, because the endpoint that was to resume
  // it was full and stated that the request did not run. Only after a failure was another endpoint tried.
  it.each([
    { call: "r1", name: "is refused once", refusals: [refused] },
    { call: "r2", name: "is refused twice", refusals: [refused, refused] },
  ])(
    "continues at a further endpoint where it $name",
    async ({ call, refusals }) => {
      scriptsByCall.set(call, [torn, ...refusals, complete]);
      const answer = await fleet.ask(call);
      const whole = eventsOf(call, { count: EVENTS });
      expect(faultOf(answer, { whole })).toBe(undefined);
      expect(answer.end).toBe("whole");
    },
  );

  it("is broken off visibly where all endpoints refuse it", async () => {
    scriptsByCall.set("r3", [torn, refused]);
    const answer = await fleet.ask("r3");
    const whole = eventsOf("r3", { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(answer.end).toBe("broken");
  });
});
