import { setTimeout as pause } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  RawEngine,
  type RunScript,
} from "../index.ts";

/** More than the buffers of all sockets on the path hold, so that the entry itself has to wait. */
const EVENTS = 200_000;
const PAUSE_PAST_SILENCE_MS = 2_500;
const TIMEOUT_MS = 700;
const PAUSE_PAST_TIMEOUT_MS = 1_200;

const fullBody = (call: string): string => eventsOf(call, { count: EVENTS });

describe("a caller that stops reading", () => {
  const script = (): RunScript => ({ events: EVENTS });
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const pauseOnce = (durationMs: number): () => Promise<void> | undefined => {
    let paused = false;
    return () => {
      const first = !paused;
      paused = true;
      return first ? pause(durationMs) : undefined;
    };
  };

  // Guards against taking an endpoint for silent because a caller is slow. An entry that cannot pass on what it
  // has read stops reading from the endpoint. When no byte came for 1.5 s, it ran the stream a second time at
  // another endpoint and stopped using the first one for all callers.
  describe("for longer than an engine may be silent", () => {
    it("gets its complete stream from one run", async () => {
      const answer = await fleet.ask("s1", {
        onBytes: pauseOnce(PAUSE_PAST_SILENCE_MS),
      });
      expect(faultOf(answer, { whole: fullBody("s1") })).toBe(undefined);
      expect(answer.end).toBe("whole");
      expect(engines.flatMap(({ runs }) => runs).length).toBe(1);
      expect(fleet.entries[0]!.lines("call: Endpoint is silent.")).toEqual([]);
    });
  });

  // Guards against closing the connection at once when a stream times out: data that the entry had passed on but
  // the caller had not read yet was lost, and the caller's last event was cut off.
  describe("until its timeout", () => {
    it("gets what was passed on, up to a whole event", async () => {
      const answer = await fleet.ask("s2", {
        time: TIMEOUT_MS,
        onBytes: pauseOnce(PAUSE_PAST_TIMEOUT_MS),
      });
      expect(faultOf(answer, { whole: fullBody("s2") })).toBe(undefined);
      expect(answer.end).toBe("broken");
    });
  });
});
