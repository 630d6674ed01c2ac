import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { HEADERS } from "@sassafrasstep/platform";
import { eventually } from "../../platform/index.ts";
import {
  ByteFleet,
  eventsOf,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
} from "../index.ts";

const EVENTS = 6;
const HAS = 2;
const HAS_BYTES = eventsOf("c1", { count: HAS }).length;

describe("a caller that comes back for the rest of its stream", () => {
  const plans = new Map<string, RunScript[]>();
  const script = ({ call }: RawRequest): RunScript => {
    const plan = plans.get(call)!;
    return plan.length > 1 ? plan.shift()! : plan[0]!;
  };
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
    entries: ["a", "a"],
  });
  const good: RunScript = { events: EVENTS };
  const silent: RunScript = {
    events: EVENTS,
    stop: "silent",
    stopAt: HAS_BYTES + 9,
  };
  const runs = (call: string): RawRequest[] =>
    engines.flatMap((engine) => engine.runs)
      .filter((run) => run.call === call)
      .sort((left, right) => left.at - right.at);

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  /** Asks the first entry, and leaves with two events in hand while its engine still runs. */
  const leaveWithTwo = async (call: string): Promise<SeenAnswer> => {
    const leave = new AbortController();
    let bytes = 0;
    return await fleet.ask(call, {
      leave: leave.signal,
      onBytes: (count) => {
        bytes += count;
        if (bytes >= HAS_BYTES) {
          leave.abort();
        }
      },
    });
  };

  it("gets exactly the rest at another entry, and its first run is ended", async () => {
    plans.set("c1", [silent, good]);
    const first = await leaveWithTwo("c1");
    const rest = await fleet.ask("c1", { entry: 1, after: HAS });
    expect(rest).toEqual({
      status: 200,
      body: eventsOf("c1", { count: EVENTS, after: HAS }),
      end: "whole",
    });
    expect(first.body + rest.body).toBe(eventsOf("c1", { count: EVENTS }));
    // Of the connections to engines the one that the caller left is closed.
    await eventually(() =>
      engines.reduce((sum, { connections }) => sum + connections, 0) === 1
    );
    expect(runs("c1").length).toBe(2);
  });

  it("gets exactly the rest where that breaks off too", async () => {
    const torn: RunScript = {
      events: EVENTS,
      stop: "closed",
      stopAt: eventsOf("c2", { count: 1 }).length + 9,
    };
    plans.set("c2", [torn, good]);
    const { body, end } = await fleet.ask("c2", { entry: 1, after: HAS });
    expect(body).toBe(eventsOf("c2", { count: EVENTS, after: HAS }));
    expect(end).toBe("whole");
    expect(runs("c2").map(({ after }) => after)).toEqual([HAS, HAS + 1]);
  });

  it.each([
    { call: "w1", after: "none" },
    { call: "w2", after: "" },
    { call: "w3", after: "99" },
    { call: "w4", after: "-1" },
  ])("is passed on with %o as it is", async ({ call, after }) => {
    plans.set(call, [good]);
    const { status, end } = await fleet.ask(call, { after });
    expect({ status, end }).toEqual({ status: 200, end: "whole" });
    const [run] = runs(call);
    expect(run!.headers.get(HEADERS.lastEventId)).toBe(after);
  });
});
