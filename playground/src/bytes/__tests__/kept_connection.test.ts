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
const MANY = 20_000;
const TORN_AT = eventsOf("k1", { count: 2 }).length + 9;

describe("a connection of a caller", () => {
  const plans: Record<string, RunScript> = {
    good: { events: EVENTS },
    torn: { events: EVENTS, stop: "closed", stopAt: TORN_AT },
    slow: { events: EVENTS, piece: 5, pace: 5 },
    large: { events: MANY },
  };
  const script = ({ call }: RawRequest): RunScript =>
    plans[call.split("-")[0]!]!;
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });
  const wholeOf = (call: string): string =>
    eventsOf(call, { count: script({ call } as RawRequest).events });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  describe("that is kept", () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const sockets = (): number =>
      Object.values(agent.freeSockets).flat().length;
    afterAll(() => agent.destroy());

    it("brings each request its own answer after a whole stream", async () => {
      for (const call of ["good-1", "slow-1", "good-2"]) {
        const answer = await fleet.ask(call, { agent });
        expect(faultOf(answer, { whole: wholeOf(call) })).toBe(undefined);
        expect(answer.end).toBe("whole");
        await eventually(() => sockets() === 1);
      }
    });

    it("is gone after a broken one", async () => {
      const answer = await fleet.ask("torn-1", { agent, path: "/once/x" });
      expect(faultOf(answer, { whole: wholeOf("torn-1") })).toBe(undefined);
      expect(answer.end).toBe("broken");
      await eventually(() => sockets() === 0);
      const next = await fleet.ask("good-3", { agent });
      expect(faultOf(next, { whole: wholeOf("good-3") })).toBe(undefined);
    });
  });

  describe("with requests one behind the other", () => {
    /** Says all requests at once; gives what comes until the connection ends. */
    const askAll = (calls: readonly string[], path: string): Promise<string> =>
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

    it("brings the answers in their order, each whole", async () => {
      const calls = ["slow-2", "large-2", "good-5"];
      const text = await askAll(calls, "/resume/x");
      expect(bodiesOf(text)).toEqual(
        calls.map((call) => ({ body: wholeOf(call), whole: true })),
      );
    });

    it("brings nothing behind an answer that is broken off", async () => {
      const text = await askAll(["torn-2", "good-6"], "/once/x");
      expect(bodiesOf(text)).toEqual([
        { body: eventsOf("torn-2", { count: 2 }), whole: false },
      ]);
    });
  });
});

/** The bodies of chunked answers one behind the other, and whether each ends with its last chunk. */
function bodiesOf(text: string): { body: string; whole: boolean }[] {
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
