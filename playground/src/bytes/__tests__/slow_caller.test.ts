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
const TIME_MS = 700;
const LONGER_THAN_TIME_MS = 1_200;

const wholeOf = (call: string): string => eventsOf(call, { count: EVENTS });

describe("a caller that stops reading", () => {
  const script = (): RunScript => ({ events: EVENTS });
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const holdOnce = (duration: number): () => Promise<void> | undefined => {
    let held = false;
    return () => {
      const first = !held;
      held = true;
      return first ? pause(duration) : undefined;
    };
  };

  // An entry that can't pass on what it has read stops reading the endpoint. It then took the endpoint for
  // silent, since no byte came for a second and a half, and had the stream run again elsewhere: two runs,
  // and one endpoint less for everybody, because one caller was slow.
  describe("for longer than an engine may be silent", () => {
    it("gets its stream whole, out of one run", async () => {
      const answer = await fleet.ask("s1", {
        onBytes: holdOnce(LONGER_THAN_SILENCE_MS),
      });
      expect(faultOf(answer, { whole: wholeOf("s1") })).toBe(undefined);
      expect(answer.end).toBe("whole");
      expect(engines.flatMap(({ runs }) => runs).length).toBe(1);
      expect(fleet.entries[0]!.lines("call: Endpoint is silent.")).toEqual([]);
    });
  });

  // A stream whose time was up was broken off by closing its connection at once. What the entry had passed on
  // already, and the caller had not yet read, was dropped: its last event was torn.
  describe("until its time is up", () => {
    it("gets what was passed on, up to a whole event", async () => {
      const answer = await fleet.ask("s2", {
        time: TIME_MS,
        onBytes: holdOnce(LONGER_THAN_TIME_MS),
      });
      expect(faultOf(answer, { whole: wholeOf("s2") })).toBe(undefined);
      expect(answer.end).toBe("broken");
    });
  });
});
