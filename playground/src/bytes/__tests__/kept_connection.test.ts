import { Agent } from "node:http";
import { connect } from "node:net";
import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "../../platform/index.ts";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  RawEngine,
  type RawRequest,
  type RunScript,
} from "../index.ts";

const EVENTS = 6;
const MANY_EVENTS = 20_000;
const CUT_AT_BYTE = eventsOf("k1", { count: 2 }).length + 9;

describe("a connection of a caller", () => {
  const scripts: Record<string, RunScript> = {
    good: { events: EVENTS },
    torn: { events: EVENTS, stop: "closed", stopAt: CUT_AT_BYTE },
    slow: { events: EVENTS, piece: 5, pace: 5 },
    large: { events: MANY_EVENTS },
  };
  const script = ({ call }: RawRequest): RunScript =>
    scripts[call.split("-")[0]!]!;
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });
  const fullBody = (call: string): string =>
    eventsOf(call, { count: script({ call } as RawRequest).events });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  describe("that is kept alive", () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const freeSocketCount = (): number =>
      Object.values(agent.freeSockets).flat().length;
    afterAll(() => agent.destroy());

    it("returns each request its own answer after a complete stream", async () => {
      for (const call of ["good-1", "slow-1", "good-2"]) {
        const answer = await fleet.ask(call, { agent });
        expect(faultOf(answer, { whole: fullBody(call) })).toBe(undefined);
        expect(answer.end).toBe("whole");
        await eventually(() => freeSocketCount() === 1);
      }
    });

    it("is closed after a broken stream", async () => {
      const answer = await fleet.ask("torn-1", { agent, path: "/once/x" });
      expect(faultOf(answer, { whole: fullBody("torn-1") })).toBe(undefined);
      expect(answer.end).toBe("broken");
      await eventually(() => freeSocketCount() === 0);
      const next = await fleet.ask("good-3", { agent });
      expect(faultOf(next, { whole: fullBody("good-3") })).toBe(undefined);
    });
  });

  describe("with pipelined requests", () => {
    /** Sends all requests at once; resolves with everything received until the connection closes. */
    const sendPipelined = (
      calls: readonly string[],
      path: string,
    ): Promise<string> =>
      new Promise((resolve) => {
        const [host, port] = fleet.entries[0]!.callers.split(":");
        let text = "";
        const socket = connect(Number(port), host);
        socket.on("data", (bytes) => text += bytes.toString("latin1"));
        socket.on("error", () => {});
        socket.on("close", () => resolve(text));
        calls.forEach((call, index) =>
          socket.write([
            `POST ${path} HTTP/1.1`,
            "host: kiosk.example",
            `connection: ${index + 1 < calls.length ? "keep-alive" : "close"}`,
            "content-length: 0",
            `${HEADERS.callId}: ${call}`,
            "",
            "",
          ].join("\r\n"))
        );
      });

    it("returns complete answers in order", async () => {
      const calls = ["slow-2", "large-2", "good-5"];
      const text = await sendPipelined(calls, "/resume/x");
      expect(parseBodies(text)).toEqual(
        calls.map((call) => ({ body: fullBody(call), whole: true })),
      );
    });

    it("returns nothing after an answer that is broken off", async () => {
      const text = await sendPipelined(["torn-2", "good-6"], "/once/x");
      expect(parseBodies(text)).toEqual([
        { body: eventsOf("torn-2", { count: 2 }), whole: false },
      ]);
    });
  });
});

/** Bodies of consecutive chunked answers, and whether each ends with the terminating chunk. */
function parseBodies(text: string): { body: string; whole: boolean }[] {
  const bodies: { body: string; whole: boolean }[] = [];
  let at = 0;
  while (at < text.length) {
    at = text.indexOf("\r\n\r\n", at) + 4;
    const answer = { body: "", whole: false };
    bodies.push(answer);
    while (at < text.length && !answer.whole) {
      const line = text.indexOf("\r\n", at);
      const size = parseInt(text.slice(at, line), 16);
      answer.body += text.slice(line + 2, line + 2 + size);
      answer.whole = size === 0;
      at = line + 2 + size + 2;
    }
  }
  return bodies;
}
