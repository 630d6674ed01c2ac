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
import { engine } from "./engine_fixture.ts";

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
    state: engine("e1"),
    madeAt: instant(0),
    sentAt: undefined,
    heardAt: undefined,
    heldSince: undefined,
    failed: false,
    unfinished: 0,
  };
}

describe("the cause of a request served badly", () => {
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

  it("is none where it was on time", () => {
    call.trace.sent(instant(10));
    [300, 600, 900].forEach((at) => call.trace.heard(instant(at)));
    expect(cause(true, 900)).toBe(undefined);
  });

  it("is the wait where no place was found", () => {
    expect(cause(false, 4_000)).toBe("waited");
    call.trace.sent(instant(900));
    call.trace.heard(instant(1_200));
    expect(cause(true, 1_300)).toBe("waited");
  });

  it("is the engine's start where it was sent early", () => {
    call.trace.sent(instant(100));
    expect(cause(false, 2_000)).toBe("slow_start");
    call.trace.heard(instant(1_200));
    expect(cause(true, 1_300)).toBe("slow_start");
  });

  // A request that was sent at once to an endpoint that stayed silent, and then to one that served it, was
  // told as one that had waited for a place: the time of its last send counted as that of its first.
  it("is the engine's start where the first one was left for another", () => {
    call.trace.sent(instant(10));
    call.trace.sent(instant(1_510));
    expect(cause(false, 2_400)).toBe("slow_start");
    call.trace.heard(instant(2_000));
    expect(cause(true, 2_400)).toBe("slow_start");
  });

  it("is a pause, also the one that was still under way", () => {
    call.trace.sent(instant(10));
    call.trace.heard(instant(300));
    call.trace.heard(instant(400));
    expect(cause(false, 1_000)).toBe("paused");
    call.trace.heard(instant(1_000));
    expect(cause(true, 1_000)).toBe("paused");
  });

  it("is starvation where events came and the time ran out", () => {
    call.trace.sent(instant(10));
    for (let at = 300; at <= 9_900; at += 400) {
      call.trace.heard(instant(at));
    }
    expect(cause(false, 10_000)).toBe("starved");
  });

  it("is no pause while its caller had no room, and the caller where that was most of its time", () => {
    call.trace.sent(instant(10));
    call.trace.heard(instant(300));
    call.trace.held(milliseconds(1_500), instant(1_800));
    call.trace.heard(instant(1_900));
    expect(cause(true, 1_900)).toBe(undefined);
    expect(call.trace.fields(call, instant(1_900))).toMatchObject({
      pauseMs: 100,
      heldMs: 1_500,
    });
    expect(cause(false, 2_000)).toBe("slow_caller");
    for (let at = 2_300; at <= 9_900; at += 400) {
      call.trace.heard(instant(at));
    }
    expect(cause(false, 10_000)).toBe("starved");
  });

  it("comes with what was known when it was placed", () => {
    const open = attempt();
    open.state!.begin(
      "other" as AttemptId,
      { prefill: 2_000, tokens: 2_500 },
      instant(0),
    );
    call.trace.placed(open);
    call.trace.reads(700);
    call.trace.sent(instant(20));
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

describe("the line of a stream that goes on elsewhere", () => {
  it("says where it was, why that was left, and what was dropped", () => {
    const trace = new CallTrace();
    trace.placed(attempt());
    trace.interrupted({ ...attempt(), unfinished: 7 }, "Silent");
    trace.placed({
      ...attempt(),
      target: { ...attempt().target, endpoint: "e2" as EndpointId } as never,
    });
    expect(trace.interruption()).toEqual({
      from: "e1",
      leftFor: "Silent",
      droppedBytes: 7,
      endpoint: "e2",
    });
  });
});
