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
  type StreamQuestion,
} from "../index.ts";

const EVENTS = 6;
/** A caller that would be refused before silence is noticed. */
const SHORT_TIME_MS = 1_300;
/** More than is kept until it is whole. */
const LARGE_BYTES = 300_000;

type Script = (request: RawRequest) => RunScript;

const good: Script = () => ({ events: EVENTS });

function headOf(
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
  /** What the first run of a call does, the second and so on, wherever they come. */
  const plans = new Map<string, readonly Script[]>();
  const asked = new Map<string, number>();
  const script: Script = (request) => {
    const plan = plans.get(request.call)!;
    const count = (asked.get(request.call) ?? 0) + 1;
    asked.set(request.call, count);
    return plan[Math.min(count, plan.length) - 1]!(request);
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

  const ask = (
    call: string,
    plan: readonly Script[],
    question: Partial<StreamQuestion> = {},
  ): Promise<SeenAnswer> => {
    plans.set(call, plan);
    return fleet.ask(call, question);
  };

  // An id that is empty takes the last one back: there is nothing to tell another endpoint. The entry took
  // it for a place, told the next endpoint an empty id, and that one began anew: its caller got both events
  // a second time, and the stream was told whole.
  it("is broken off after events whose id is empty", async () => {
    const twice = "id:\ndata: a\n\nid:\ndata: b\n\n";
    const empty: Script = ({ call }) => ({
      events: EVENTS,
      says: [headOf(call), twice],
    });
    const { body, end } = await ask("p1", [empty, good], { time: 3_000 });
    expect({ body, end }).toEqual({ body: twice, end: "broken" });
    expect(runsOf("p1")).toHaveLength(1);
  });

  // An endpoint that takes no notice of the last id begins anew. The ids say so, and the entry passed its
  // events on behind those that the caller had: 1, 2, 1, 2, 3 and so on, told whole.
  it("does not go on with events that its caller has", async () => {
    const two = eventsOf("p2", { count: 2 });
    const silent: Script = () => ({
      events: EVENTS,
      stop: "silent",
      stopAt: two.length,
    });
    const anew: Script = ({ call }) => ({
      events: EVENTS,
      says: [headOf(call), eventsOf(call, { count: EVENTS })],
    });
    const answer = await ask("p2", [silent, anew, good], { time: 4_000 });
    const whole = eventsOf("p2", { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
  });

  // A failure on a route of streams is kept until it is whole. One whose body never ends was not known to
  // the gateway as a failure: its caller waited for the silence of its endpoint, or, where other streams run
  // there, for its own deadline, while another endpoint could have served it.
  it("leaves a failure whose body never ends", async () => {
    const torn: Script = ({ call }) => ({
      events: EVENTS,
      says: [headOf(call, { status: 500, length: 100 }), "abc"],
    });
    const answer = await ask("p3", [torn, good], { time: SHORT_TIME_MS });
    const whole = eventsOf("p3", { count: EVENTS });
    expect({ end: answer.end, body: answer.body }).toEqual({
      end: "whole",
      body: whole,
    });
  });

  // An answer that is no events is kept until it is whole, and its bytes were not told to the gateway. An
  // endpoint that says one for two seconds, a piece each quarter, was left as silent and the request ran at
  // others too. On plain routes it is still so: 3 runs, and 5.6 s for an answer of 2.5 s.
  describe("stays where an answer that is no events still comes", () => {
    const pieces = Array.from({ length: 10 }, (_, index) => `piece ${index}`);
    const text = pieces.join("");
    const slow: Script = ({ call }) => ({
      events: EVENTS,
      says: [
        headOf(call, { type: "text/plain", length: text.length }),
        ...pieces,
      ],
      pace: 250,
    });

    it.each([["a route of streams", "/resume/x"], [
      "a plain route",
      "/plain/x",
    ]])("on %s", async (name, path) => {
      const { body } = await ask(`p4 ${name}`, [slow], { path, time: 6_000 });
      expect(body).toBe(text);
      expect(runsOf(`p4 ${name}`)).toHaveLength(1);
    });
  });

  // An event without an end was kept in memory for as long as bytes came. Nothing of it may go to a caller
  // before it is whole, so its endpoint has to be left at some size.
  it("leaves an event that goes on and on", async () => {
    const endless: Script = ({ call }) => ({
      events: EVENTS,
      says: [
        headOf(call),
        "data: ",
        ..."x".repeat(64).split("").map((letter) => letter.repeat(65_536)),
      ],
    });
    const answer = await ask("p9", [endless, good], { time: SHORT_TIME_MS });
    const whole = eventsOf("p9", { count: EVENTS });
    expect(answer.body).toBe(whole);
  });

  // An endpoint that turns a resumed send away vouches that it did not run it; a failure there was answered
  // by a third endpoint, a refusal broke the stream off.
  it("goes on after a refusal to go on", async () => {
    const silent: Script = () => ({
      events: EVENTS,
      stop: "silent",
      stopAt: eventsOf("p5", { count: 2 }).length,
    });
    const full: Script = () => ({ events: EVENTS, status: 503, notRun: true });
    const answer = await ask("p5", [silent, full, good]);
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

  it("goes on at a third endpoint where the second says no events", async () => {
    const silent: Script = () => ({
      events: EVENTS,
      stop: "silent",
      stopAt: eventsOf("p6", { count: 2 }).length,
    });
    const text: Script = ({ call }) => ({
      events: EVENTS,
      says: [headOf(call, { type: "text/plain", length: 4 }), "text"],
    });
    const answer = await ask("p6", [silent, text, good]);
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

  it("is broken off where what has begun are no events", async () => {
    const text = "a".repeat(LARGE_BYTES);
    const torn: Script = ({ call }) => ({
      events: EVENTS,
      says: [
        headOf(call, { type: "text/plain", length: 2 * LARGE_BYTES }),
        text,
      ],
      stop: "closed",
    });
    const { body, end } = await ask("p7", [torn, good]);
    expect({ whole: body === text, end }).toEqual({
      whole: true,
      end: "broken",
    });
    expect(runsOf("p7")).toHaveLength(1);
  });

  it("is broken off where its route does not let it go on", async () => {
    const torn: Script = () => ({
      events: EVENTS,
      stop: "ended",
      stopAt: eventsOf("p8", { count: 2 }).length + 1,
    });
    const answer = await ask("p8", [torn, good], { path: "/fixed/x" });
    const whole = eventsOf("p8", { count: EVENTS });
    expect(answer.end).toBe("broken");
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(runsOf("p8")).toHaveLength(1);
  });

  it("gets nothing of an endpoint that speaks again after it was left", async () => {
    const parts = [1, 2, 3].map((third) =>
      eventsOf("p10", { count: 2 * third, after: 2 * (third - 1) })
    );
    const late: Script = ({ call }) => ({
      events: EVENTS,
      says: [headOf(call) + parts[0]!, parts[1]!, parts[2]!],
      pace: 1_700,
    });
    const slow: Script = () => ({ events: EVENTS, piece: 10, pace: 40 });
    const answer = await ask("p10", [late, slow]);
    const whole = eventsOf("p10", { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect({ end: answer.end, runs: runsOf("p10").length }).toEqual({
      end: "whole",
      runs: 2,
    });
  });

  it.each([["small", 10], ["larger than what is kept", LARGE_BYTES]])(
    "gets nothing of a failure that another endpoint makes up for: %s",
    async (size, length) => {
      const call = `p11 ${size}`;
      const failing: Script = () => ({
        events: EVENTS,
        says: [headOf(call, { status: 500, length }), "x".repeat(length)],
      });
      const answer = await ask(call, [failing, good]);
      const whole = eventsOf(call, { count: EVENTS });
      expect(answer).toEqual({ status: 200, body: whole, end: "whole" });
    },
  );

  it("is passed on with a blank line that comes after its last event", async () => {
    const whole = `${eventsOf("p12", { count: EVENTS })}\n`;
    const blank: Script = ({ call }) => ({
      events: EVENTS,
      says: [
        headOf(call, { length: whole.length }) + whole.slice(0, -1),
        "\n",
      ],
      pace: 50,
    });
    const { body, end } = await ask("p12", [blank]);
    expect({ body, end }).toEqual({ body: whole, end: "whole" });
  });
});
