import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { HEADERS } from "@sassafrasstep/platform";
import { callPlatform, PlatformFleet, StandInEndpoint } from "../index.ts";

const HEARTBEAT_MS = 100;
/** Longer than the route's timeout and the time for which its callers may take a stream up. */
const PUBLISHED_FOR_MS = 11_000;
const STREAM_TOKENS = "100,20";
const EVENTS = 5;
const AFTER_EVENT = 2;

// Guards against streams that are refused after the loss of all entries although their service had one version.
describe("a stream that its caller takes up after all entries were killed", () => {
  const fleet = new PlatformFleet({ bounds: `heartbeat_ms = ${HEARTBEAT_MS}` });
  let heartbeats: NodeJS.Timeout;

  beforeAll(async () => {
    await fleet.prepare();
    heartbeats = setInterval(() => {
      for (const { id } of fleet.endpoints) {
        const service = id.startsWith("i-e") ? "pool" : "plain";
        fleet.refreshRecord(id, { service });
      }
    }, HEARTBEAT_MS);
    await fleet.start(2);
    await new Promise((resolve) => setTimeout(resolve, PUBLISHED_FOR_MS));
    for (const entry of fleet.entries) {
      await fleet.restartEntry(entry);
    }
  });
  afterAll(async () => {
    clearInterval(heartbeats);
    await fleet.close();
  });

  it.each([
    ["names the call that began it", { [HEADERS.resumedCall]: "lost-1" }],
    ["names nothing", {}],
  ])("goes on where the caller %s", async (_name, headers) => {
    for (const { callers } of fleet.entries) {
      const answer = await callPlatform(callers, {
        path: "/resume/x",
        call: `${callers}-${Object.keys(headers).length}`,
        tokens: STREAM_TOKENS,
        headers: { ...headers, [HEADERS.lastEventId]: String(AFTER_EVENT) },
      });
      expect(answer.status).toBe(200);
      const whole = StandInEndpoint.streamBody(EVENTS);
      expect(answer.body).toBe(
        whole.slice(whole.indexOf(`id: ${AFTER_EVENT + 1}`)),
      );
    }
  });
});
