import { describe, expect, it } from "vitest";
import { type DemandReport, RegionDemand } from "../../demand/index.ts";
import { FairShares } from "../../fair_shares/index.ts";
import {
  type AttemptId,
  type CallId,
  type CustomerId,
  type EndpointId,
  type Incarnation,
  instant,
  milliseconds,
  type RequestId,
  type Revision,
  type RouteName,
  SeededRandomness,
  type ServiceId,
  StallAdjustedClock,
  type ZoneId,
} from "../../index.ts";
import {
  type Route,
  RouteTable,
  type RoutingDocument,
} from "../../routes/index.ts";
import type { StreamOrigins } from "../../stream_origins/index.ts";
import { CallController } from "../call_controller.ts";
import type { CallRouter, RoutingDecision } from "../call_router.ts";
import { ColdAllowance } from "../cold_allowance.ts";
import { EndpointState } from "../endpoint_state.ts";
import { createAnswer } from "./answer_fixture.ts";
import type { GatewayBounds, GatewayEffect } from "../messages.ts";
import { divideSlack, RetryBudget } from "../../retries/index.ts";
import { PlacementMeter } from "../placement_meter.ts";
import type { RegionController } from "../region_controller.ts";
import { emptyTerms } from "./endpoint_terms_fixture.ts";
import { createEngine } from "./engine_fixture.ts";
import { emptyQuarantine, fingerprint } from "./quarantine_fixture.ts";

const SERVICE = "pool" as ServiceId;
const ROUTE: Route = {
  name: "digest" as RouteName,
  host: "h",
  pathPrefix: "/d/",
  kind: "stream",
  targets: [{ service: SERVICE, weight: 1 }],
  attempts: 1,
  timeout: milliseconds(60_000),
  objective: milliseconds(1_000),
  pauseObjective: undefined,
  priority: 1,
  homes: [],
  sticky: false,
  public: false,
  resumable: false,
};
const DOCUMENT: RoutingDocument = {
  version: 1 as Revision,
  routes: [ROUTE],
  services: new Map(),
  customers: new Map(),
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTime: milliseconds(1),
    idleTime: milliseconds(1),
  },
};
const BOUNDS: GatewayBounds = {
  retryRatio: 0.2,
  retryWindow: milliseconds(10_000),
  retrySlack: 10,
  coldOvershoot: 1,
  coldSlack: 1,
  listLifetime: milliseconds(1_000),
  stopTime: milliseconds(8_000),
  keyLifetime: undefined,
};

/** Records of streams that nothing reads. */
function noOrigins(): StreamOrigins {
  return { tick: () => [], record: () => {} } as unknown as StreamOrigins;
}

/** Shares of a region's customers, switched off or given the demand of a peer. */
function sharesOf(peer?: DemandReport): FairShares {
  const demand = new RegionDemand(new StallAdjustedClock(instant(0)));
  if (peer !== undefined) {
    demand.receive("b1" as Incarnation, peer, instant(0));
  }
  return new FairShares({
    demand,
    isOn: () => peer !== undefined,
    limitOf: () => undefined,
    placedHere: () => [],
  });
}

/** Builds a controller with a stub router that returns the given decision and counts its calls. */
function build(route = ROUTE, shares = sharesOf()): {
  controller: CallController;
  effects: GatewayEffect[];
  asked: { count: number; decision: RoutingDecision };
} {
  const asked: { count: number; decision: RoutingDecision } = {
    count: 0,
    decision: { kind: "wait", wait: milliseconds(1), reason: "busy" },
  };
  const effects: GatewayEffect[] = [];
  const router = {
    next: () => {
      asked.count++;
      return asked.decision;
    },
    targetOf: () => ({ kind: "endpoint" }),
    isStillEligible: () => true,
  } as unknown as CallRouter;
  const controller = new CallController({
    emit: (effect) => effects.push(effect),
    random: new SeededRandomness(1),
    catalogue: {
      table: new RouteTable({ ...DOCUMENT, routes: [route] }),
      isStale: () => false,
    } as never,
    endpoints: {
      all: () => [],
      ofService: () => [],
      hasRestarted: () => false,
    } as never,
    regions: {
      recordArrival: () => {},
      traffic: { add: () => {} },
      recordPrefill: () => {},
      prefillFraction: 0,
    } as unknown as RegionController,
    placements: new PlacementMeter(),
    shares,
    router,
    budget: new RetryBudget(BOUNDS, { roundsUpFrom: 1 }, instant(0)),
    cold: new ColdAllowance(BOUNDS, instant(0)),
    quarantine: emptyQuarantine(),
    terms: emptyTerms(),
    limits: {} as never,
    origins: noOrigins(),
    history: {} as never,
    keyLifetime: () => undefined,
    clock: new StallAdjustedClock(instant(0)),
    loans: { ask: () => false } as never,
    slackShare: () => divideSlack({ regions: 1, entries: 1 }),
    regionEntries: () => 1,
  });
  return { controller, effects, asked };
}

/** The decision to send a request to an endpoint. */
function placementAt(state: EndpointState): RoutingDecision {
  return {
    kind: "endpoint",
    placement: {
      kind: "chosen",
      state,
      prefill: 0,
      tokens: 0,
      fetchFrom: undefined,
    },
  };
}

function arrive(
  controller: CallController,
  id: string,
  promptTokens: number,
): void {
  controller.arrive({
    id: id as RequestId,
    call: id as CallId,
    host: "h",
    target: "/d/x",
    timeLeft: undefined,
    prompt: {
      model: "m",
      promptTokens,
      outputTokens: 1,
      outputHint: undefined,
      parts: [],
    },
    lastEventId: undefined,
    bodyBytes: 0,
    fingerprint: fingerprint(id),
    relay: undefined,
  }, instant(0));
}

describe("waiting requests", () => {
  /**
   * Guards against an overloaded entry that answers late and sends requests whose callers have left. Some
   * hundred requests waited, and each event of a stream looked for capacity for all of them: the work for an
   * event grew with the queue and used up the processor.
   */
  it("are not all checked on each tick, however many there are", () => {
    const { controller, asked } = build();
    for (let index = 0; index < 300; index++) {
      arrive(controller, `long-${index}`, 8_000);
      arrive(controller, `short-${index}`, 500);
    }
    expect(controller.queued).toBe(600);
    asked.count = 0;
    controller.tick(instant(25));
    expect(asked.count).toBeLessThanOrEqual(2);
  });

  it("are all sent once there is capacity", () => {
    const { controller, effects, asked } = build();
    arrive(controller, "a", 8_000);
    arrive(controller, "b", 500);
    const record = {
      id: "e" as EndpointId,
      service: SERVICE,
      address: "a:1",
      zone: "z" as ZoneId,
      softwareVersion: "v",
      slots: 8,
      state: "ready" as const,
      coldFor: milliseconds(0),
      leavesIn: undefined,
      life: undefined,
      sequence: 1,
    };
    asked.decision = placementAt(
      new EndpointState(record, undefined, instant(0)),
    );
    controller.tick(instant(25));
    expect(controller.queued).toBe(0);
    expect(effects.filter(({ kind }) => kind === "send").length).toBe(2);
  });

  it("are removed when their callers leave", () => {
    const { controller } = build();
    arrive(controller, "a", 8_000);
    controller.callerGone("a" as RequestId, instant(10));
    expect(controller.queued).toBe(0);
    expect(controller.active).toBe(0);
  });
});

describe("a request whose connection ends before it is written", () => {
  // Guards against an action that fails, or uses up retries, though no endpoint received it.
  it("is sent without a retry of the budget, and has not run", () => {
    const { controller, effects, asked } = build();
    asked.decision = placementAt(createEngine("e1"));
    arrive(controller, "a", 500);
    const commitLast = (): AttemptId => {
      const { length } = effects;
      const send = effects.filter((effect) => effect.kind === "send").at(-1)!;
      controller.commit(send.attempt.id, instant(1));
      expect(effects.slice(length)).toMatchObject([{ kind: "proceed" }]);
      return send.attempt.id;
    };
    const unsent = { kind: "unsent", detail: "", refused: false } as const;
    controller.ended(commitLast(), unsent, instant(2));
    const rejection = createAnswer({ status: 503, notRun: true });
    controller.answered(commitLast(), rejection, instant(3));
    expect(effects.at(-1)).toMatchObject({
      kind: "refuse",
      refusal: { status: 503, verdict: { kind: "not_run" } },
    });
  });
});

describe("a request whose attempt is still connecting", () => {
  // Guards against a stop that tells callers of requests which were not sent that these may have run.
  it("has not run when its entry stops", () => {
    const { controller, effects, asked } = build();
    asked.decision = placementAt(createEngine("e1"));
    arrive(controller, "a", 500);
    controller.endAll(instant(1));
    expect(effects.at(-1)).toMatchObject({
      kind: "refuse",
      refusal: { status: 503, verdict: { kind: "not_run" } },
    });
  });
});

describe("a request whose customer had its share", () => {
  /** What a peer reports: most was placed for the customer of the requests here, which have none. */
  function peerDemand({ ownWaits, othersWait }: {
    ownWaits: number;
    othersWait: number;
  }): DemandReport {
    const group = (customer: string | undefined, requests: number) => ({
      service: SERVICE,
      rank: 1,
      late: false,
      customer: customer as CustomerId | undefined,
      requests,
      tokens: requests * 1_000,
    });
    return {
      waiting: [group(undefined, ownWaits), group("calm", othersWait)]
        .filter(({ requests }) => requests > 0),
      placed: [group(undefined, 60)],
    };
  }

  function arriveWithRoom(peer: DemandReport | undefined): {
    controller: CallController;
    kinds: () => string[];
  } {
    const { controller, effects, asked } = build(ROUTE, sharesOf(peer));
    asked.decision = placementAt(createEngine("e1"));
    arrive(controller, "a", 500);
    return { controller, kinds: () => effects.map(({ kind }) => kind) };
  }

  /** Guards against a loud customer's request that overtakes those which wait for an endpoint at other entries. */
  it("waits while others wait at other entries, for a bounded time", () => {
    const { controller, kinds } = arriveWithRoom(
      peerDemand({ ownWaits: 20, othersWait: 5 }),
    );
    expect(controller.queued).toBe(1);
    for (let at = 25; at <= 200; at += 25) {
      controller.tick(instant(at));
    }
    expect(kinds()).not.toContain("send");
    for (let at = 225; at <= 500; at += 25) {
      controller.tick(instant(at));
    }
    expect(kinds()).toContain("send");
  });

  it("is sent at once where nobody else waits, or the feature is off", () => {
    const alone = arriveWithRoom(peerDemand({ ownWaits: 20, othersWait: 0 }));
    expect(alone.kinds()).toContain("send");
    expect(arriveWithRoom(undefined).kinds()).toContain("send");
  });

  /** Guards against requests that are held until their callers give up. */
  it("is refused at once if its turn comes too late", () => {
    const { controller, kinds } = arriveWithRoom(
      peerDemand({ ownWaits: 400, othersWait: 5 }),
    );
    expect(controller.queued).toBe(0);
    expect(kinds()).toContain("refuse");
  });
});

const ANSWER = createAnswer();

describe("an action whose caller has left", () => {
  // Guards against an action that runs although its endpoint had refused it and its caller had given it up.
  it("is not sent again if its endpoint refuses it", () => {
    const { controller, effects, asked } = build({
      ...ROUTE,
      kind: "non_idempotent",
      attempts: 2,
    });
    asked.decision = placementAt(createEngine("e1"));
    arrive(controller, "a", 500);
    const attempt = "a.1" as AttemptId;
    // Late enough that the retry budget has its burst.
    controller.commit(attempt, instant(20_000));
    controller.callerGone("a" as RequestId, instant(20_010));
    const refusal = { ...ANSWER, status: 503, notRun: true, events: false };
    controller.answered(attempt, refusal, instant(20_700));
    expect(effects.filter(({ kind }) => kind === "send").length).toBe(1);
    expect(controller.active).toBe(0);
  });
});

describe("a stream under backpressure from its caller", () => {
  // The stream of a caller that did not read for 1.5 s was run again elsewhere: nothing had arrived from the
  // endpoint, because nothing had been read. Once reading resumes, the endpoint has the full time to send.
  it("counts as silent only if nothing arrives after reading has resumed", () => {
    const { controller, effects, asked } = build({
      ...ROUTE,
      attempts: 2,
      public: false,
      resumable: true,
    });
    asked.decision = placementAt(createEngine("e1"));
    const sends = (): number =>
      effects.filter(({ kind }) => kind === "send").length;
    arrive(controller, "a", 500);
    const attempt = "a.1" as AttemptId;
    controller.commit(attempt, instant(10));
    controller.answered(attempt, ANSWER, instant(20));
    const events = { lastEventId: "1", unnumbered: false, unfinished: 0 };
    controller.progress(attempt, events, instant(30));
    controller.noteBackpressure(attempt, true, instant(30));
    for (let at = 100; at < 6_000; at += 25) {
      controller.tick(instant(at));
    }
    controller.noteBackpressure(attempt, false, instant(6_000));
    controller.tick(instant(6_025));
    controller.tick(instant(7_400));
    expect(sends()).toBe(1);
    for (let at = 7_425; at < 8_000; at += 25) {
      controller.tick(instant(at));
    }
    expect(sends()).toBe(2);
  });
});
