import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
  type StreamRequest,
} from "../index.ts";

const EVENTS = 6;
/** The caller's timeout ends before the silence of an endpoint is detected. */
const SHORT_TIMEOUT_MS = 1_300;
/** More than the entry buffers until an answer is complete. */
const LARGE_BYTES = 300_000;

type Script = (request: RawRequest) => RunScript;

const complete: Script = () => ({ events: EVENTS });

function formatHead(
  call: string,
  { status = 200, type = "text/event-stream", length }: {
    status?: number;
    type?: string;
    length?: number;
  } = {},
): string {
  return [
    `HTTP/1.1 ${status} x`,
    `${HEADERS.callId}: ${call}`,
    `${HEADERS.seal}: s-${call}`,
    `content-type: ${type}`,
    length === undefined ? "connection: close" : `content-length: ${length}`,
    "",
    "",
  ].join("\r\n");
}

describe("a stream that may go on elsewhere", () => {
  /** By call id: the scripts of its first, second and later runs, at whichever engine. */
  const scriptsByCall = new Map<string, readonly Script[]>();
  const runCounts = new Map<string, number>();
  const script: Script = (request) => {
    const scripts = scriptsByCall.get(request.call)!;
    const count = (runCounts.get(request.call) ?? 0) + 1;
    runCounts.set(request.call, count);
    return scripts[Math.min(count, scripts.length) - 1]!(request);
  };
  const engines = ["i-1", "i-2", "i-3", "i-4"].map((id) =>
    new RawEngine(id, script)
  );
  const fleet = new ByteFleet({
    engines: engines.map((engine) => ({ engine })),
  });
  const runsOf = (call: string): RawRequest[] =>
    engines.flatMap(({ runs }) => runs).filter((run) => run.call === call);

  beforeAll(() => fleet.start());
  afterAll(() => fleet.close());

  const requestStream = (
    call: string,
    scripts: readonly Script[],
    options: Partial<StreamRequest> = {},
  ): Promise<SeenAnswer> => {
    scriptsByCall.set(call, scripts);
    return fleet.ask(call, options);
  };

  // Guards against resuming after an empty id, which resets the last event id so that no position is known. The
  // entry sent the empty id to the next endpoint, which started over: the caller got both events twice in a
  // stream that ended as complete.
  it("is broken off after events whose id is empty", async () => {
    const eventsWithEmptyIds = "id:\ndata: a\n\nid:\ndata: b\n\n";
    const emptyIds: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [formatHead(call), eventsWithEmptyIds],
    });
    const { body, end } = await requestStream("p1", [emptyIds, complete], {
      time: 3_000,
    });
    expect({ body, end }).toEqual({ body: eventsWithEmptyIds, end: "broken" });
    expect(runsOf("p1")).toHaveLength(1);
  });

  // Guards against repeated events from an endpoint that ignores the last event id and starts over. The entry
  // passed its events on after those that the caller had, as 1, 2, 1, 2, 3 and so on, and ended as complete.
  it("does not continue with events that its caller has", async () => {
    const firstTwo = eventsOf("p2", { count: 2 });
    const silent: Script = () => ({
      events: EVENTS,
      stop: "silent",
      stopAt: firstTwo.length,
    });
    const restarting: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [formatHead(call), eventsOf(call, { count: EVENTS })],
    });
    const answer = await requestStream("p2", [silent, restarting, complete], {
      time: 4_000,
    });
    const whole = eventsOf("p2", { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
  });

  // Guards against waiting for a failure whose body never ends. Failures on stream routes are buffered until
  // they are complete, and the gateway did not learn of this one: the caller waited until the endpoint was
  // detected as silent or, where other streams ran there, until its own deadline, although another endpoint
  // could have served it.
  it("abandons a failure whose body never ends", async () => {
    const torn: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [formatHead(call, { status: 500, length: 100 }), "abc"],
    });
    const answer = await requestStream("p3", [torn, complete], {
      time: SHORT_TIMEOUT_MS,
    });
    const whole = eventsOf("p3", { count: EVENTS });
    expect({ end: answer.end, body: answer.body }).toEqual({
      end: "whole",
      body: whole,
    });
  });

  // Guards against abandoning an endpoint as silent while its answer, which is not an event stream, still
  // arrives. Such answers are buffered until they are complete, and their bytes were not reported to the gateway:
  // one of two seconds, with a piece every 250 ms, made the request run at other endpoints too. On plain routes
  // this meant 3 runs, and 5.6 s for an answer of 2.5 s.
  describe("stays where an answer that is not an event stream still arrives", () => {
    const pieces = Array.from({ length: 10 }, (_, index) => `piece ${index}`);
    const text = pieces.join("");
    const slow: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [
        formatHead(call, { type: "text/plain", length: text.length }),
        ...pieces,
      ],
      pace: 250,
    });

    it.each([["a route of streams", "/resume/x"], [
      "a plain route",
      "/plain/x",
    ]])("on %s", async (name, path) => {
      const { body } = await requestStream(`p4 ${name}`, [slow], {
        path,
        time: 6_000,
      });
      expect(body).toBe(text);
      expect(runsOf(`p4 ${name}`)).toHaveLength(1);
    });
  });

  // Guards against buffering an endless event without a limit. No part of an event may reach the caller before
  // the event is complete, so the endpoint has to be abandoned at some size.
  it("abandons an event that never ends", async () => {
    const endless: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [
        formatHead(call),
        "data: ",
        ..."x".repeat(64).split("").map((letter) => letter.repeat(65_536)),
      ],
    });
    const answer = await requestStream("p9", [endless, complete], {
      time: SHORT_TIMEOUT_MS,
    });
    const whole = eventsOf("p9", { count: EVENTS });
    expect(answer.body).toBe(whole);
  });

  // Guards against breaking off a stream because an endpoint refuses to resume it, although the refusal
  // guarantees that the request did not run there. Only after a failure was a third endpoint tried.
  it("continues after a refusal to resume it", async () => {
    const silent: Script = () => ({
      events: EVENTS,
      stop: "silent",
      stopAt: eventsOf("p5", { count: 2 }).length,
    });
    const refusing: Script = () => ({
      events: EVENTS,
      status: 503,
      notRun: true,
    });
    const answer = await requestStream("p5", [silent, refusing, complete]);
    const whole = eventsOf("p5", { count: EVENTS });
    expect({ end: answer.end, body: answer.body }).toEqual({
      end: "whole",
      body: whole,
    });
    expect(fleet.entries[0]!.lines("call: Stream goes on elsewhere."))
      .toContainEqual(expect.objectContaining({
        fields: expect.objectContaining({
          call: "p5",
          leftFor: "Refused with 503",
          droppedBytes: 0,
        }),
      }));
  });

  it("continues at a third endpoint where the second sends no events", async () => {
    const silent: Script = () => ({
      events: EVENTS,
      stop: "silent",
      stopAt: eventsOf("p6", { count: 2 }).length,
    });
    const plainText: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [formatHead(call, { type: "text/plain", length: 4 }), "text"],
    });
    const answer = await requestStream("p6", [silent, plainText, complete]);
    const whole = eventsOf("p6", { count: EVENTS });
    expect({ end: answer.end, body: answer.body }).toEqual({
      end: "whole",
      body: whole,
    });
    const lines = fleet.entries[0]!.lines("call: Stream goes on elsewhere.");
    expect(lines.filter(({ fields }) => fields.call === "p6")).toMatchObject([
      { fields: { leftFor: "Answered 200" } },
    ]);
  });

  it("is broken off where the answer that has begun is not an event stream", async () => {
    const text = "a".repeat(LARGE_BYTES);
    const torn: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [
        formatHead(call, { type: "text/plain", length: 2 * LARGE_BYTES }),
        text,
      ],
      stop: "closed",
    });
    const { body, end } = await requestStream("p7", [torn, complete]);
    expect({ whole: body === text, end }).toEqual({
      whole: true,
      end: "broken",
    });
    expect(runsOf("p7")).toHaveLength(1);
  });

  it("is broken off where its route does not allow resuming", async () => {
    const torn: Script = () => ({
      events: EVENTS,
      stop: "ended",
      stopAt: eventsOf("p8", { count: 2 }).length + 1,
    });
    const answer = await requestStream("p8", [torn, complete], {
      path: "/fixed/x",
    });
    const whole = eventsOf("p8", { count: EVENTS });
    expect(answer.end).toBe("broken");
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(runsOf("p8")).toHaveLength(1);
  });

  it("contains no bytes of an endpoint that sends again after it was abandoned", async () => {
    const parts = [1, 2, 3].map((third) =>
      eventsOf("p10", { count: 2 * third, after: 2 * (third - 1) })
    );
    const late: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [formatHead(call) + parts[0]!, parts[1]!, parts[2]!],
      pace: 1_700,
    });
    const slow: Script = () => ({ events: EVENTS, piece: 10, pace: 40 });
    const answer = await requestStream("p10", [late, slow]);
    const whole = eventsOf("p10", { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect({ end: answer.end, runs: runsOf("p10").length }).toEqual({
      end: "whole",
      runs: 2,
    });
  });

  it.each([["small", 10], ["larger than the buffer", LARGE_BYTES]])(
    "contains no bytes of a failure where another endpoint answers: %s",
    async (size, length) => {
      const call = `p11 ${size}`;
      const failing: Script = () => ({
        events: EVENTS,
        rawParts: [
          formatHead(call, { status: 500, length }),
          "x".repeat(length),
        ],
      });
      const answer = await requestStream(call, [failing, complete]);
      const whole = eventsOf(call, { count: EVENTS });
      expect(answer).toEqual({ status: 200, body: whole, end: "whole" });
    },
  );

  it("is passed on with a blank line after its last event", async () => {
    const whole = `${eventsOf("p12", { count: EVENTS })}\n`;
    const blank: Script = ({ call }) => ({
      events: EVENTS,
      rawParts: [
        formatHead(call, { length: whole.length }) + whole.slice(0, -1),
        "\n",
      ],
      pace: 50,
    });
    const { body, end } = await requestStream("p12", [blank]);
    expect({ body, end }).toEqual({ body: whole, end: "whole" });
  });
});
