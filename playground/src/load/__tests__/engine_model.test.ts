import {
  type CallHead,
  type CallTarget,
  type EndpointId,
  SeededRandomness,
} from "@sassafrasstep/core";
import { beforeEach, describe, expect, it } from "vitest";
import type { BackendRequest } from "../../routes/fake_backend.ts";
import { VirtualTime } from "../../scenario/virtual_time.ts";
import {
  type ContentionParameters,
  SharedMachine,
} from "../../routes/shared_machine.ts";
import { EngineModel, type EngineParameters } from "../engine_model.ts";

/** Round values, so that expected times are easy to calculate. */
const PARAMETERS: EngineParameters = {
  slots: 2,
  cacheTokens: 10_000,
  stepMs: 5,
  stepMsPerRequest: 0,
  stepMsPerThousandContextTokens: 0,
  prefillTokensPerMs: 50,
  maxPrefillTokensPerStep: 1_000,
  msPerMillionTokenPairs: 0,
  tokensPerEvent: 2,
  startDelayMs: 10,
  fetchMs: 3,
  fetchMsPerThousandTokens: 1,
  slowdown: 1,
};
const SHARED = { id: "shared", tokens: 2_000 };

interface RecordedAnswer {
  readonly events: { id: number; at: number }[];
  ended: "complete" | "lost" | undefined;
}

/** A machine that is slowed down to half its pace at all times. */
const SLOWED_DOWN: ContentionParameters = {
  share: 1,
  factor: 2,
  periodMs: 600,
};

describe("a modelled engine", () => {
  let time: VirtualTime;
  let firstEngine: EngineModel;
  let secondEngine: EngineModel;
  let slowedEngine: EngineModel;

  beforeEach(() => {
    time = new VirtualTime();
    const engines: EngineModel[] = [];
    const build = (name: string, machine?: SharedMachine): EngineModel =>
      new EngineModel({
        name,
        id: name,
        service: "pool",
        spot: { zone: "z", region: "r" },
        slots: PARAMETERS.slots,
        work: 0,
        machine,
      }, {
        time,
        runs: [],
        figures: PARAMETERS,
        engineAt: (address) =>
          engines.find((engine) => engine.name === address),
      });
    firstEngine = build("one");
    secondEngine = build("two");
    slowedEngine = build(
      "three",
      new SharedMachine(SLOWED_DOWN, new SeededRandomness(1)),
    );
    engines.push(firstEngine, secondEngine, slowedEngine);
  });

  function send(
    engine: EngineModel,
    { ownTokens = 1_000, shared = false, events = 3, urgency, prefixFrom }: {
      ownTokens?: number;
      shared?: boolean;
      events?: number;
      urgency?: number;
      prefixFrom?: string;
    } = {},
  ): RecordedAnswer {
    const recorded: RecordedAnswer = { events: [], ended: undefined };
    const parts = [...shared ? [SHARED] : [], {
      id: `own-${ownTokens}`,
      tokens: ownTokens,
    }];
    const head = {
      prompt: {
        model: "m",
        promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
        outputTokens: 100,
        outputHint: undefined,
        parts,
      },
    } as unknown as CallHead;
    const target: Extract<CallTarget, { kind: "endpoint" }> = {
      kind: "endpoint",
      endpoint: engine.id as EndpointId,
      address: engine.name,
      connections: 1,
      urgency,
      prefixFrom,
    };
    const request: BackendRequest = {
      call: "c",
      streaming: true,
      events,
      resumeAfter: 0,
      prefill: 0,
      head,
      target,
      answer: {
        head: () => {},
        event: (id) => recorded.events.push({ id, at: Math.round(time.now) }),
        complete: () => recorded.ended = "complete",
        lost: () => recorded.ended = "lost",
      },
    };
    engine.take(request);
    return recorded;
  }

  it("prefills a prompt in chunks, then generates one token per step", () => {
    const recorded = send(firstEngine, { ownTokens: 2_000 });
    time.runUntil(1_000);
    // A start delay of 10 ms and two prefill steps of 5 + 20 ms; the second generates the first token.
    expect(recorded.events).toEqual([
      { id: 1, at: 60 },
      { id: 2, at: 65 },
      { id: 3, at: 75 },
      { id: 4, at: 85 },
    ]);
    expect(recorded.ended).toBe("complete");
    expect(firstEngine.counts.prefilledTokens).toBe(2_000);
  });

  it("slows running requests during prefill", () => {
    const running = send(firstEngine, { ownTokens: 100, events: 20 });
    time.runUntil(50);
    send(firstEngine, { ownTokens: 4_000 });
    time.runUntil(1_000);
    const gaps = running.events.map(({ at }, index) =>
      at - (running.events[index - 1]?.at ?? at)
    );
    expect(Math.max(...gaps)).toBeGreaterThanOrEqual(50);
    expect(Math.min(...gaps.slice(2))).toBeLessThanOrEqual(10);
  });

  it("does not prefill cached parts again", () => {
    send(firstEngine, { shared: true, ownTokens: 1_001 });
    time.runUntil(500);
    send(firstEngine, { shared: true, ownTokens: 1_002 });
    time.runUntil(1_000);
    expect(firstEngine.counts.prefilledTokens).toBe(3_001 + 1_002);
    expect(firstEngine.counts.cachedTokens).toBe(2_000);
  });

  it("fetches parts cached at another engine, which takes time", () => {
    send(firstEngine, { shared: true, ownTokens: 1_001 });
    time.runUntil(500);
    const recorded = send(secondEngine, {
      shared: true,
      ownTokens: 1_000,
      prefixFrom: "one",
    });
    time.runUntil(1_000);
    expect(secondEngine.counts.prefilledTokens).toBe(1_000);
    // A fetch of 3 + 2 ms, a start delay of 10 ms and one step of 25 ms.
    expect(recorded.events[0]!.at).toBe(540);
  });

  it("admits more urgent requests first when all slots are occupied", () => {
    send(firstEngine, { ownTokens: 100, events: 40 });
    send(firstEngine, { ownTokens: 101, events: 40 });
    const lessUrgent = send(firstEngine, { ownTokens: 102, urgency: 8 });
    const moreUrgent = send(firstEngine, { ownTokens: 103, urgency: 2 });
    time.runUntil(5_000);
    expect(moreUrgent.events[0]!.at).toBeLessThanOrEqual(
      lessUrgent.events[0]!.at,
    );
    expect(lessUrgent.ended).toBe("complete");
  });

  it("loses its running requests and its cache when it crashes", () => {
    const recorded = send(firstEngine, {
      shared: true,
      ownTokens: 1_000,
      events: 40,
    });
    time.runUntil(150);
    firstEngine.crash();
    time.runUntil(1_000);
    expect(recorded.ended).toBe("lost");
    expect(firstEngine.cache.cachedTokens([SHARED])).toBe(0);
  });

  it("takes longer for each step while other work slows its machine down", () => {
    const recorded = send(slowedEngine, { ownTokens: 2_000 });
    time.runUntil(1_000);
    // Without contention the first events come at 60 and 65 ms, of which 10 ms are the start delay.
    expect(recorded.events.slice(0, 2).map(({ at }) => at)).toEqual([110, 120]);
  });

  it("reports its load if its machine is shared, and nothing otherwise", () => {
    send(slowedEngine, { ownTokens: 2_000 });
    send(slowedEngine, { ownTokens: 2_001 });
    send(slowedEngine, { ownTokens: 2_002 });
    time.runUntil(70);
    expect(slowedEngine.answerFields.load).toEqual({
      running: 2,
      waiting: 1,
      slots: 2,
      contention: 200,
    });
    expect(firstEngine.answerFields.load).toBeUndefined();
  });
});
