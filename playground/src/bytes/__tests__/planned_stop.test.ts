import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "../../platform/index.ts";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  ProcessEntry,
  RawEngine,
  type RawRequest,
  type RunScript,
} from "../index.ts";

/** More than the buffers of the sockets on the way hold. */
const MANY = 200_000;
const FEW = 6;
const OK = 200;
const BAD_GATEWAY = 502;
const TORN_AT = eventsOf("n1", { count: 2 }).length + 9;
const PIECE_BYTES = 7;
const PIECE_PACE_MS = 15;

describe("a planned stop", () => {
  const plans: Record<string, RunScript> = {
    slow: { events: MANY },
    endless: { events: MANY, piece: PIECE_BYTES, pace: PIECE_PACE_MS },
    torn: { events: FEW, stop: "silent", stopAt: TORN_AT },
    late: { events: FEW, stop: "never" },
  };
  const script = ({ call }: RawRequest): RunScript => plans[call]!;
  const engine = new RawEngine("i-1", script);
  const fleet = new ByteFleet({
    engines: [{ engine }],
    processes: true,
    stopSeconds: 5,
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  // A stopping entry whose time was up ended with answers in it: the process was gone, and with it what its
  // callers had not read yet. They had the beginning of an event, and those still without an answer got none.
  it("cuts streams between events, and refuses what has no answer", async () => {
    const entry = fleet.entries[0]! as ProcessEntry;
    const stopped = (): Promise<void> =>
      eventually(() => entry.lines("stop: Stopped.").length > 0);
    const calls = Object.keys(plans);
    const answers = calls.map((call) => {
      let first = call === "slow";
      const onBytes = (): Promise<void> | undefined => {
        const held = first ? stopped() : undefined;
        first = false;
        return held;
      };
      return fleet.ask(call, { path: "/once/x", time: 20_000, onBytes });
    });
    await eventually(() => engine.runs.length === calls.length);
    entry.signal("SIGTERM");
    expect(await entry.ended()).toBe(0);
    const seen = await Promise.all(answers);
    expect(seen.map(({ status, body, end }, at) => {
      const call = calls[at]!;
      const { events } = plans[call]!;
      const whole = eventsOf(call, { count: events });
      return {
        call,
        status,
        end,
        fault: status === OK
          ? faultOf({ status, body, end }, { whole })
          : undefined,
      };
    })).toEqual([
      { call: "slow", status: OK, end: "broken", fault: undefined },
      { call: "endless", status: OK, end: "broken", fault: undefined },
      { call: "torn", status: OK, end: "broken", fault: undefined },
      { call: "late", status: BAD_GATEWAY, end: "whole", fault: undefined },
    ]);
  });
});
