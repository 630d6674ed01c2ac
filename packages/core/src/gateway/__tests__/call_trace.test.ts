import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type CallId,
  type EndpointId,
  instant,
  milliseconds,
  type RequestId,
  type RouteName,
} from "../../index.ts";
import type { Route } from "../../routes/index.ts";
import { Call, type OpenAttempt } from "../call.ts";
import { CallTrace } from "../call_trace.ts";
import { fingerprint } from "./quarantine_fixture.ts";
import { createEngine } from "./engine_fixture.ts";

const ROUTE: Route = {
  name: "digest" as RouteName,
  host: "h",
  pathPrefix: "/d/",
  kind: "stream",
  targets: [],
  attempts: 1,
  timeout: milliseconds(10_000),
  objective: milliseconds(1_000),
  pauseObjective: milliseconds(500),
  priority: 1,
  homes: [],
  sticky: false,
  resumable: false,
};

function attempt(): OpenAttempt {
  return {
    id: "a" as AttemptId,
    target: {
      kind: "endpoint",
      endpoint: "e1" as EndpointId,
      address: "e1:1",
      connections: 1,
      urgency: undefined,
      prefixFrom: undefined,
    },
    state: createEngine("e1"),
    createdAt: instant(0),
    sentAt: undefined,
    heardAt: undefined,
    backpressureSince: undefined,
    failed: false,
    partialEventBytes: 0,
  };
}

describe("the cause of a late or unserved request", () => {
  let call: Call;

  beforeEach(() => {
    call = new Call({
      id: "r" as RequestId,
      call: "c" as CallId,
      host: "h",
      target: "/d/x",
      timeLeft: undefined,
      prompt: undefined,
      lastEventId: undefined,
      bodyBytes: 0,
      fingerprint: fingerprint("c"),
      relay: undefined,
    }, {
      route: ROUTE,
      services: [],
      arrivedAt: instant(0),
      endsAt: instant(10_000),
    });
  });

  const cause = (served: boolean, at: number): string | undefined =>
    call.trace.cause(call, served, instant(at));

  it("is none if the request was on time", () => {
    call.trace.noteSent(instant(10));
    [300, 600, 900].forEach((at) => call.trace.noteBytes(instant(at)));
    expect(cause(true, 900)).toBe(undefined);
  });

  it("is the wait for capacity if there was none in time", () => {
    expect(cause(false, 4_000)).toBe("waited");
    call.trace.noteSent(instant(900));
    call.trace.noteBytes(instant(1_200));
    expect(cause(true, 1_300)).toBe("waited");
  });

  it("is the engine's slow start if the request was sent early", () => {
    call.trace.noteSent(instant(100));
    expect(cause(false, 2_000)).toBe("slow_start");
    call.trace.noteBytes(instant(1_200));
    expect(cause(true, 1_300)).toBe("slow_start");
  });

  // A request was sent at once to an endpoint that stayed silent, and then to one that served it. The log said
  // that it had waited for capacity, because the time of its last send was taken for that of its first.
  it("is the engine's slow start if the first engine was abandoned for another", () => {
    call.trace.noteSent(instant(10));
    call.trace.noteSent(instant(1_510));
    expect(cause(false, 2_400)).toBe("slow_start");
    call.trace.noteBytes(instant(2_000));
    expect(cause(true, 2_400)).toBe("slow_start");
  });

  it("is a pause between events, including one that has not ended", () => {
    call.trace.noteSent(instant(10));
    call.trace.noteBytes(instant(300));
    call.trace.noteBytes(instant(400));
    expect(cause(false, 1_000)).toBe("paused");
    call.trace.noteBytes(instant(1_000));
    expect(cause(true, 1_000)).toBe("paused");
  });

  it("is starvation if events came until the time ran out", () => {
    call.trace.noteSent(instant(10));
    for (let at = 300; at <= 9_900; at += 400) {
      call.trace.noteBytes(instant(at));
    }
    expect(cause(false, 10_000)).toBe("starved");
  });

  it("is no pause during backpressure, and a slow caller if that took most of the time", () => {
    call.trace.noteSent(instant(10));
    call.trace.noteBytes(instant(300));
    call.trace.noteBackpressure(milliseconds(1_500), instant(1_800));
    call.trace.noteBytes(instant(1_900));
    expect(cause(true, 1_900)).toBe(undefined);
    expect(call.trace.fields(call, instant(1_900))).toMatchObject({
      pauseMs: 100,
      heldMs: 1_500,
    });
    expect(cause(false, 2_000)).toBe("slow_caller");
    for (let at = 2_300; at <= 9_900; at += 400) {
      call.trace.noteBytes(instant(at));
    }
    expect(cause(false, 10_000)).toBe("starved");
  });

  it("is logged with what was known when the request was placed", () => {
    const open = attempt();
    open.state!.addAttempt(
      "other" as AttemptId,
      { prefill: 2_000, tokens: 2_500 },
      instant(0),
    );
    call.trace.notePlaced(open);
    call.trace.notePrefill(700);
    call.trace.noteSent(instant(20));
    expect(call.trace.fields(call, instant(50))).toMatchObject({
      endpoint: "e1",
      backlog: 2_000,
      requests: 1,
      prefill: 700,
      sentMs: 20,
      endedMs: 50,
    });
  });
});

// Guards against a request that runs twice without a line that tells where, and what led to the second run.
describe("a request that is sent more than once", () => {
  const sendTo = (trace: CallTrace, endpoint: string, at: number): void => {
    trace.notePlaced({ ...attempt(), state: createEngine(endpoint) });
    trace.noteSent(instant(at));
  };

  it("lists where it was sent and how each attempt ended", () => {
    const call = new Call({} as never, { arrivedAt: instant(100) } as never);
    sendTo(call.trace, "e1", 110);
    call.trace.noteEnd("refused");
    sendTo(call.trace, "e1", 130);
    expect(call.trace.fields(call, instant(150))).toMatchObject({
      sends: [
        { to: "e1", atMs: 10, end: "refused" },
        { to: "e1", atMs: 30, end: undefined },
      ],
    });
  });

  it("states what ended the attempt before, and by what answer", () => {
    const { trace } = new Call({} as never, {} as never);
    expect(trace.previousFields()).toEqual({});
    sendTo(trace, "e1", 10);
    trace.noteAnswer({ status: 503, notRun: true } as never);
    trace.noteEnd("refused");
    expect(trace.previousFields()).toMatchObject({
      previous: "e1",
      previousEnd: "refused",
      answerStatus: 503,
      answerNotRun: true,
    });
  });
});

describe("the log line of a resumed stream", () => {
  it("names both endpoints with their versions, why the former was abandoned and how many bytes were dropped", () => {
    const trace = new CallTrace();
    trace.notePlaced(attempt());
    trace.noteInterrupted({ ...attempt(), partialEventBytes: 7 }, "Silent");
    trace.notePlaced({
      ...attempt(),
      target: { ...attempt().target, endpoint: "e2" as EndpointId } as never,
      state: createEngine("e2", { softwareVersion: "v2" }),
    });
    expect(trace.interruptionFields()).toEqual({
      from: "e1",
      fromVersion: "v1",
      leftFor: "Silent",
      droppedBytes: 7,
      endpoint: "e2",
      version: "v2",
    });
  });
});
