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
const PARTIAL_EVENT_BYTES = 9;
const CUT_AT_BYTE = eventsOf("f1", { count: 2 }).length + PARTIAL_EVENT_BYTES;
const LONGER_STYLE: EventStyle = { ...PLAIN_STYLE, versions: true };
const SHORTER_STYLE: EventStyle = PLAIN_STYLE;

describe("the framing of a stream", () => {
  let runCount = 0;
  let styles: readonly EventStyle[] = [];
  const script = (): RunScript => ({
    events: EVENTS,
    framing: "length",
    style: styles[Math.min(runCount++, 1)],
    ...(runCount === 1 ? { stop: "closed", stopAt: CUT_AT_BYTE } : {}),
  });
  const engines = ["i-1", "i-2"].map((id) => new RawEngine(id, script));
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  // Guards against passing on the first endpoint's content length when the stream continues at another endpoint,
  // whose events are a few bytes longer or shorter. The caller's answer then ended inside an event and looked
  // complete, with its rest in front of the next answer on the connection, or was broken off after all of it had
  // come.
  describe("whose first endpoint stated its length", () => {
    it.each([
      { name: "longer", plan: [SHORTER_STYLE, LONGER_STYLE] },
      { name: "shorter", plan: [LONGER_STYLE, SHORTER_STYLE] },
    ])(
      "is correct where the next endpoint's events are $name",
      async ({ plan }) => {
        runCount = 0;
        styles = plan;
        const { body, end } = await fleet.ask("f1", { time: 2_000 });
        const [first, next] = plan;
        expect(body).toBe(
          eventsOf("f1", { count: 2, style: first }) +
            eventsOf("f1", { count: EVENTS, after: 2, style: next }),
        );
        expect(end).toBe("whole");
      },
    );
  });

  // An HTTP/1.0 caller does not support chunks: its answer ends with the connection, so that one that is broken
  // off with a graceful close looks complete.
  describe("for a caller that does not support chunks", () => {
    const requestOverHttp10 = (
      path: string,
    ): Promise<{ body: string; reset: boolean }> =>
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

    it("ends with the connection", async () => {
      runCount = 1;
      styles = [SHORTER_STYLE, SHORTER_STYLE];
      expect(await requestOverHttp10("/once/x")).toEqual({
        body: eventsOf("f1", { count: EVENTS }),
        reset: false,
      });
    });

    it("is reset after its last whole event where it is broken off", async () => {
      runCount = 0;
      styles = [SHORTER_STYLE, SHORTER_STYLE];
      expect(await requestOverHttp10("/once/x")).toEqual({
        body: eventsOf("f1", { count: 2 }),
        reset: true,
      });
    });
  });
});
