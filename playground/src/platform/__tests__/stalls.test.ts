import { setTimeout as wait } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import { Agent } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  callPlatform,
  eventually,
  PlatformFleet,
  route,
  StandInEndpoint,
} from "../index.ts";

const STREAMS = 64;
const EVENT_INTERVAL_MS = 50;
/** Longer than a stream may be silent before the entry sends it to another endpoint. */
const PAUSES_MS = [1_700, 2_400, 1_700, 1_700];
const BETWEEN_PAUSES_MS = 100;
/** Time that the entry runs in each `SLICE_PERIOD_MS`, as on a busy machine. */
const RUN_SLICE_MS = 5;
const SLICE_PERIOD_MS = 1_000;
const SLICES = 4;
const CALLER_TIMEOUT_MS = 20_000;
/** A plain answer comes well within the caller's timeout; the paused entry resumes only after the timeout. */
const ANSWER_DELAY_MS = 100;
const SHORT_CALLER_TIMEOUT_MS = 500;
const PAST_TIMEOUT_MS = 800;
const REPEATS = 3;

// Guards against second runs of streams whose entry was paused: after pauses of 1.7 to 2.4 s with 64 streams
// open, all bytes were waiting in the entry's sockets, but its silence timer fired first. It logged "Endpoint
// is silent." for one stream after another and ran them again at another endpoint. Whether timers or sockets
// come first depends on the moment of the pause, so the entry is paused four times.
describe("an entry that stands still with streams under way", () => {
  const fleet = new PlatformFleet();
  const dispatcher = new Agent({ connections: STREAMS });

  beforeAll(async () => {
    await fleet.prepare();
    fleet.publishDocument([
      route("resume", {
        kind: "stream",
        service: "pool",
        attempts: 2,
        resumable: true,
        timeout_ms: CALLER_TIMEOUT_MS,
      }),
      route("once", { kind: "non_idempotent", service: "plain", attempts: 1 }),
    ]);
    fleet.endpoints.forEach((endpoint) => {
      endpoint.eventIntervalMs = EVENT_INTERVAL_MS;
      endpoint.delayMs = ANSWER_DELAY_MS;
    });
    await fleet.start(1);
  });
  afterAll(async () => {
    await dispatcher.destroy();
    await fleet.close();
  });

  const readStream = async (call: string): Promise<string> => {
    const { body } = await callPlatform(fleet.entries[0]!.callers, {
      path: "/resume/x",
      call,
      tokens: "100,5",
      body: "q",
      dispatcher,
      headers: { [HEADERS.timeLeft]: String(CALLER_TIMEOUT_MS) },
    });
    return body;
  };
  const allRuns = (): string[] =>
    fleet.endpoints.flatMap((endpoint) => endpoint.executedCalls);
  const pause = async (durationMs: number): Promise<void> => {
    const { process } = fleet.entries[0]!;
    process.kill("SIGSTOP");
    await wait(durationMs);
    process.kill("SIGCONT");
  };
  const expectSingleRuns = async (
    name: string,
    { events, disturb }: { events: number; disturb: () => Promise<void> },
  ): Promise<void> => {
    fleet.endpoints.forEach((endpoint) => endpoint.eventCount = events);
    const calls = Array.from({ length: STREAMS }, (_, at) => `${name}-${at}`);
    const bodies = Promise.all(calls.map(readStream));
    const ran = (): string[] =>
      allRuns().filter((call) => call.startsWith(`${name}-`)).sort();
    await eventually(() => ran().length === STREAMS);
    await disturb();
    expect(new Set(await bodies)).toEqual(
      new Set([StandInEndpoint.streamBody(events)]),
    );
    expect(ran()).toEqual([...calls].sort());
  };

  it("runs no stream twice after pauses", () =>
    expectSingleRuns("stopped", {
      events: 165,
      disturb: async () => {
        for (const durationMs of PAUSES_MS) {
          await pause(durationMs);
          await wait(BETWEEN_PAUSES_MS);
        }
      },
    }));

  it("runs no stream twice while it runs for a few milliseconds each second", () =>
    expectSingleRuns("turns", {
      events: 85,
      disturb: async () => {
        for (let slice = 0; slice < SLICES; slice++) {
          await pause(SLICE_PERIOD_MS - RUN_SLICE_MS);
          await wait(RUN_SLICE_MS);
        }
      },
    }));

  // Guards against a 504 for a call that had run: the caller's timeout fired before the answer was read.
  it("delivers an answer that came while it was paused", async () => {
    const statuses: number[] = [];
    for (let at = 0; at < REPEATS; at++) {
      const call = `late-${at}`;
      const answer = callPlatform(fleet.entries[0]!.callers, {
        path: "/once/x",
        call,
        body: "badge",
        headers: { [HEADERS.timeLeft]: String(SHORT_CALLER_TIMEOUT_MS) },
      });
      await eventually(() => allRuns().includes(call));
      await pause(PAST_TIMEOUT_MS);
      statuses.push((await answer).status);
    }
    expect(statuses).toEqual(Array(REPEATS).fill(200));
  });
});
