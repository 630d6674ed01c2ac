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
const PACE_MS = 50;
/** Longer than a stream may be silent before it is sent elsewhere. */
const PAUSES_MS = [1_700, 2_400, 1_700, 1_700];
const BETWEEN_MS = 100;
/** Of each second of a machine that is busy the entry gets this much. */
const TURN_MS = 5;
const SECOND_MS = 1_000;
const TURNS = 4;
const TIME_MS = 20_000;
/** A plain answer comes well within its caller's time, and the entry goes on after that. */
const ANSWER_MS = 100;
const SHORT_TIME_MS = 500;
const BEYOND_MS = 800;
const TRIES = 3;

// An entry was stopped for 1.7 to 2.4 s while 64 streams went through it, and went on. All bytes of its
// endpoints lay in its sockets by then, but its timer came first and judged by a clock that had run on:
// "Endpoint is silent." for one stream after another, and a second run of them at another endpoint. Which
// comes first, timer or sockets, depends on where the stop hits, so it is stopped four times.
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
        timeout_ms: TIME_MS,
      }),
      route("once", { kind: "non_idempotent", service: "plain", attempts: 1 }),
    ]);
    fleet.endpoints.forEach((endpoint) => {
      endpoint.pace = PACE_MS;
      endpoint.delay = ANSWER_MS;
    });
    await fleet.start(1);
  });
  afterAll(async () => {
    await dispatcher.destroy();
    await fleet.close();
  });

  const stream = async (call: string): Promise<string> => {
    const { body } = await callPlatform(fleet.entries[0]!.callers, {
      path: "/resume/x",
      call,
      tokens: "100,5",
      body: "q",
      dispatcher,
      headers: { [HEADERS.timeLeft]: String(TIME_MS) },
    });
    return body;
  };
  const runs = (): string[] =>
    fleet.endpoints.flatMap((endpoint) => endpoint.runs);
  const pause = async (time: number): Promise<void> => {
    const { process } = fleet.entries[0]!;
    process.kill("SIGSTOP");
    await wait(time);
    process.kill("SIGCONT");
  };
  const streams = async (
    name: string,
    { events, trouble }: { events: number; trouble: () => Promise<void> },
  ): Promise<void> => {
    fleet.endpoints.forEach((endpoint) => endpoint.events = events);
    const calls = Array.from({ length: STREAMS }, (_, at) => `${name}-${at}`);
    const bodies = Promise.all(calls.map(stream));
    const ran = (): string[] =>
      runs().filter((call) => call.startsWith(`${name}-`)).sort();
    await eventually(() => ran().length === STREAMS);
    await trouble();
    expect(new Set(await bodies)).toEqual(
      new Set([StandInEndpoint.streamOf(events)]),
    );
    expect(ran()).toEqual([...calls].sort());
  };

  it("has no stream run twice after it was stopped", () =>
    streams("stopped", {
      events: 165,
      trouble: async () => {
        for (const time of PAUSES_MS) {
          await pause(time);
          await wait(BETWEEN_MS);
        }
      },
    }));

  it("has no stream run twice while it gets a short turn each second", () =>
    streams("turns", {
      events: 85,
      trouble: async () => {
        for (let turn = 0; turn < TURNS; turn++) {
          await pause(SECOND_MS - TURN_MS);
          await wait(TURN_MS);
        }
      },
    }));

  // The timer came first here too, and said that the caller's time was over: a call that had run was a 504.
  it("delivers an answer that came while it stood still", async () => {
    const statuses: number[] = [];
    for (let at = 0; at < TRIES; at++) {
      const call = `late-${at}`;
      const answer = callPlatform(fleet.entries[0]!.callers, {
        path: "/once/x",
        call,
        body: "badge",
        headers: { [HEADERS.timeLeft]: String(SHORT_TIME_MS) },
      });
      await eventually(() => runs().includes(call));
      await pause(BEYOND_MS);
      statuses.push((await answer).status);
    }
    expect(statuses).toEqual(Array(TRIES).fill(200));
  });
});
