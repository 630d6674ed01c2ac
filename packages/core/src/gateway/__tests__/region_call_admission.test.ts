import { beforeEach, describe, expect, it } from "vitest";
import { type DemandReport, NO_DEMAND } from "../../demand/index.ts";
import {
  type CallId,
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
  type RequestId,
  type RouteName,
  type ServiceId,
} from "../../ids/index.ts";
import type { Route } from "../../routes/index.ts";
import { Call } from "../call.ts";
import type { CallHead, GatewayEffect } from "../messages.ts";
import { RegionCallAdmission } from "../region_call_admission.ts";
import { fingerprint } from "./quarantine_fixture.ts";

const SERVICE = "pool" as ServiceId;
const NOW = instant(10_000);
const ROUTE: Route = {
  name: "digest" as RouteName,
  host: "h",
  pathPrefix: "/d/",
  kind: "stream",
  targets: [{ service: SERVICE, weight: 1 }],
  attempts: 1,
  timeout: milliseconds(5_000),
  objective: milliseconds(2_500),
  pauseObjective: undefined,
  priority: 2,
  homes: [],
  sticky: false,
  public: false,
  resumable: false,
};

function headOf(timeLeft: number | undefined, isRelayed = false): CallHead {
  return {
    id: "r" as RequestId,
    call: "c" as CallId,
    host: "h",
    target: "/d/x",
    timeLeft: timeLeft === undefined ? undefined : milliseconds(timeLeft),
    prompt: undefined,
    key: undefined,
    lastEventId: undefined,
    bodyBytes: 0,
    fingerprint: fingerprint("r"),
    relay: isRelayed
      ? { from: "x" as never, sentBefore: 0, customer: undefined }
      : undefined,
  };
}

function callOf(
  { age = 0, arrivedAt = NOW, isRelayed = false }: {
    age?: number;
    arrivedAt?: Instant;
    isRelayed?: boolean;
  } = {},
): Call {
  const call = new Call(headOf(5_000 - age, isRelayed), {
    route: ROUTE,
    customer: undefined,
    services: [SERVICE],
    arrivedAt,
    age: milliseconds(age),
    endsAt: instant(arrivedAt + 5_000 - age),
  });
  call.uncachedTokens = 4_700;
  return call;
}

describe("decisions about a request by the state of its region", () => {
  let isOn: boolean;
  let peer: DemandReport;
  let effects: GatewayEffect[];
  let admission: RegionCallAdmission;

  beforeEach(() => {
    isOn = true;
    peer = NO_DEMAND;
    effects = [];
    const own = NO_DEMAND;
    admission = new RegionCallAdmission({
      isOn: () => isOn,
      demand: { own, reports: () => [own, peer], entries: 2 },
      regionEntries: () => 2,
      assumedRate: () => 10,
      regions: { prefillFraction: 0.5 },
      emit: (effect) => effects.push(effect),
    });
  });

  function fillPeer(tokens: number, rank = 2): void {
    const group = { service: SERVICE, rank, late: false, customer: undefined };
    peer = { ...NO_DEMAND, waiting: [{ ...group, requests: 1, tokens }] };
  }

  function learnUsualTime(): void {
    for (let index = 0; index < 20; index++) {
      admission.ageOf(ROUTE, headOf(5_000));
    }
  }

  it("know the age of a returning caller's request", () => {
    learnUsualTime();
    expect(admission.ageOf(ROUTE, headOf(3_500))).toBe(1_500);
    expect(admission.ageOf(ROUTE, headOf(undefined))).toBe(0);
    expect(admission.ageOf(ROUTE, headOf(0))).toBe(0);
    expect(admission.ageOf(ROUTE, headOf(1e12))).toBe(0);
  });

  it("count a returning caller's request as late from its first attempt on", () => {
    const call = callOf({ age: 1_500 });
    expect(call.isLate(instant(NOW + 1_000))).toBe(false);
    expect(call.isLate(instant(NOW + 1_001))).toBe(true);
  });

  it("put a returning caller's request before those that came later", () => {
    fillPeer(60_000);
    expect(admission.refuses(callOf(), NOW)).toBe(true);
    expect(admission.refuses(callOf({ age: 1_500 }), NOW)).toBe(false);
  });

  /** Guards against requests of other regions that count as returning because they have been on the way. */
  it("do not take a request from another region for a returning one", () => {
    fillPeer(60_000);
    expect(admission.refuses(callOf({ age: 200, isRelayed: true }), NOW))
      .toBe(true);
    expect(admission.refuses(callOf({ age: 200 }), NOW)).toBe(false);
  });

  it("give up those at the end of the queue that get no place in time, and those alone", () => {
    fillPeer(10_000);
    const calls = Array.from({ length: 30 }, () => callOf());
    calls.forEach((call) => admission.noteQueued(call, 1, NOW));
    const hopeless = admission.review(calls, NOW);
    expect(hopeless.length).toBeGreaterThan(5);
    expect(hopeless.length).toBeLessThan(28);
    expect(hopeless).not.toContain(calls[0]);
  });

  it("never give up one that an endpoint has had, or that waits for the trial of its copy", () => {
    fillPeer(1_000_000);
    const offered = callOf();
    offered.offered = 1;
    const onTrial = callOf();
    onTrial.awaitsTrial = true;
    expect(admission.review([offered, onTrial], NOW)).toEqual([]);
  });

  it("hold a request on time for longer than a late one, but not to its end", () => {
    const limit = admission.longestWait(callOf(), NOW)!;
    expect(limit).toBeGreaterThan(2_500);
    expect(limit).toBeLessThan(3_750);
    const late = callOf({ arrivedAt: instant(NOW - 2_600) });
    expect(admission.longestWait(late, NOW)).toBeUndefined();
  });

  it("tell a time to return for refusals of a full region alone", () => {
    fillPeer(20_000);
    const told = (reason: "overloaded" | "over_limit" | "stopping") =>
      admission.returnTime(callOf(), reason, NOW);
    expect(told("overloaded")).toBeGreaterThan(100);
    expect(told("over_limit")).toBeUndefined();
    expect(told("stopping")).toBeUndefined();
  });

  it("write one line of log for many refusals", () => {
    fillPeer(60_000);
    for (let index = 0; index < 50; index++) {
      admission.refuses(callOf(), NOW);
    }
    admission.tick(NOW);
    admission.tick(instant(NOW + 100));
    expect(effects).toHaveLength(1);
    expect(effects[0]).toMatchObject({
      text: "Region is full.",
      fields: { refusedOnArrival: 50 },
    });
  });

  it("are none while the feature is off", () => {
    learnUsualTime();
    fillPeer(1_000_000, 0);
    isOn = false;
    const late = callOf({ arrivedAt: instant(NOW - 3_000) });
    const nothing: (Milliseconds | boolean | number | undefined)[] = [
      admission.refuses(callOf(), NOW),
      admission.expectedWait(callOf(), NOW),
      admission.longestWait(callOf(), NOW),
      admission.returnTime(callOf(), "overloaded", NOW),
    ];
    expect(nothing).toEqual([undefined, undefined, undefined, undefined]);
    expect(admission.leavesPlace(late, NOW)).toBe(false);
    expect(admission.isReviewDue(NOW)).toBe(false);
    expect(admission.ageOf(ROUTE, headOf(3_500))).toBe(0);
  });
});
