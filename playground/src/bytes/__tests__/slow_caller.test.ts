import { setTimeout as pause } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  RawEngine,
  type RunScript,
} from "../index.ts";

/** More than the buffers of the sockets on the way hold, so that the entry itself has to wait. */
const EVENTS = 200_000;
const LONGER_THAN_SILENCE_MS = 2_500;

const wholeOf = (call: string): string => eventsOf(call, { count: EVENTS });

describe("a caller that stops reading", () => {
  const script = (): RunScript => ({ events: EVENTS });
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const holdOnce = (): () => Promise<void> | undefined => {
    let held = false;
    return () => {
      const first = !held;
      held = true;
      return first ? pause(LONGER_THAN_SILENCE_MS) : undefined;
    };
  };

  // An entry that can't pass on what it has read stops reading the endpoint. It then took the endpoint for
  // silent, since no byte came for a second and a half, and had the stream run again elsewhere: two runs,
  // and one endpoint less for everybody, because one caller was slow.
  describe("for longer than an engine may be silent", () => {
    it("gets its stream whole, out of one run", async () => {
      const answer = await fleet.ask("s1", { onBytes: holdOnce() });
      expect(faultOf(answer, { whole: wholeOf("s1") })).toBe(undefined);
      expect(answer.end).toBe("whole");
      expect(engines.flatMap(({ runs }) => runs).length).toBe(1);
      expect(fleet.entries[0]!.lines("call: Endpoint is silent.")).toEqual([]);
    });
  });
});
