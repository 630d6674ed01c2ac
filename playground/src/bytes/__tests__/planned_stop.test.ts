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

/** More than the buffers of all sockets on the path hold. */
const MANY_EVENTS = 200_000;
const FEW_EVENTS = 6;
const OK = 200;
const BAD_GATEWAY = 502;
const CUT_AT_BYTE = eventsOf("n1", { count: 2 }).length + 9;
const PIECE_BYTES = 7;
const PIECE_INTERVAL_MS = 15;

describe("a planned stop", () => {
  const scripts: Record<string, RunScript> = {
    slow: { events: MANY_EVENTS },
    endless: {
      events: MANY_EVENTS,
      piece: PIECE_BYTES,
      pace: PIECE_INTERVAL_MS,
    },
    torn: { events: FEW_EVENTS, stop: "silent", stopAt: CUT_AT_BYTE },
    late: { events: FEW_EVENTS, stop: "never" },
  };
  const script = ({ call }: RawRequest): RunScript => scripts[call]!;
  const engine = new RawEngine("i-1", script);
  const fleet = new ByteFleet({
    engines: [{ engine }],
    processes: true,
    stopSeconds: 5,
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  // Guards against an entry that exits at its stop timeout with answers still in its buffers. What callers had
  // not read yet was lost: some got only the beginning of an event, and those still waiting got no answer.
  it("ends streams between events, and refuses requests without an answer", async () => {
    const entry = fleet.entries[0]! as ProcessEntry;
    const stopped = (): Promise<void> =>
      eventually(() => entry.lines("stop: Stopped.").length > 0);
    const calls = Object.keys(scripts);
    const answers = calls.map((call) => {
      let pauses = call === "slow";
      const onBytes = (): Promise<void> | undefined => {
        const pause = pauses ? stopped() : undefined;
        pauses = false;
        return pause;
      };
      return fleet.ask(call, { path: "/once/x", time: 20_000, onBytes });
    });
    await eventually(() => engine.runs.length === calls.length);
    entry.signal("SIGTERM");
    expect(await entry.exitStatus()).toBe(0);
    const received = await Promise.all(answers);
    expect(received.map(({ status, body, end }, at) => {
      const call = calls[at]!;
      const { events } = scripts[call]!;
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
