import { connect } from "node:net";
import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  type EventStyle,
  PLAIN_STYLE,
  RawEngine,
  type RunScript,
} from "../index.ts";

const EVENTS = 6;
const TORN_BYTES = 9;
const TORN_AT = eventsOf("f1", { count: 2 }).length + TORN_BYTES;
const LONGER: EventStyle = { ...PLAIN_STYLE, versions: true };
const SHORTER: EventStyle = PLAIN_STYLE;

describe("the framing of a stream", () => {
  let asked = 0;
  let styles: readonly EventStyle[] = [];
  const script = (): RunScript => ({
    events: EVENTS,
    framing: "length",
    style: styles[Math.min(asked++, 1)],
    ...(asked === 1 ? { stop: "closed", stopAt: TORN_AT } : {}),
  });
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  // The length that the first endpoint had told went on to the caller. The stream then went on at another,
  // whose events were a few bytes longer or shorter: the caller's answer ended inside an event and was told
  // whole, with the rest of it standing before the next answer of the connection, or was broken off when all of
  // it had come.
  describe("whose first endpoint told its length", () => {
    it.each([
      { name: "longer", plan: [SHORTER, LONGER] },
      { name: "shorter", plan: [LONGER, SHORTER] },
    ])("fits where the next one's events are $name", async ({ plan }) => {
      asked = 0;
      styles = plan;
      const { body, end } = await fleet.ask("f1", { time: 2_000 });
      const [first, next] = plan;
      expect(body).toBe(
        eventsOf("f1", { count: 2, style: first }) +
          eventsOf("f1", { count: EVENTS, after: 2, style: next }),
      );
      expect(end).toBe("whole");
    });
  });

  // A caller of the older protocol knows no chunks: its answer ends with the connection, and one that is
  // broken off by closing it in order looks whole.
  describe("for a caller that knows no chunks", () => {
    const ask = (path: string): Promise<{ body: string; reset: boolean }> =>
      new Promise((resolve) => {
        const [host, port] = fleet.entries[0]!.callers.split(":");
        let text = "";
        const socket = connect(Number(port), host);
        const end = (reset: boolean): void => {
          socket.destroy();
          resolve({ body: text.split("\r\n\r\n")[1] ?? "", reset });
        };
        socket.on("data", (bytes) => text += bytes.toString());
        socket.on("end", () => end(false));
        socket.on("error", () => end(true));
        socket.write([
          `POST ${path} HTTP/1.0`,
          "host: kiosk.example",
          `${HEADERS.callId}: f1`,
          `${HEADERS.timeLeft}: 2000`,
          "",
          "",
        ].join("\r\n"));
      });

    it("ends with its connection", async () => {
      asked = 1;
      styles = [SHORTER, SHORTER];
      expect(await ask("/once/x")).toEqual({
        body: eventsOf("f1", { count: EVENTS }),
        reset: false,
      });
    });

    it("is reset where it is broken off, after its last event", async () => {
      asked = 0;
      styles = [SHORTER, SHORTER];
      expect(await ask("/once/x")).toEqual({
        body: eventsOf("f1", { count: 2 }),
        reset: true,
      });
    });
  });
});
