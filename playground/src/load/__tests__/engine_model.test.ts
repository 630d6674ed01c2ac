import type { CallHead, CallTarget, EndpointId } from "@sassafrasstep/core";
import { beforeEach, describe, expect, it } from "vitest";
import type { BackendRequest } from "../../routes/fake_backend.ts";
import { VirtualTime } from "../../scenario/virtual_time.ts";
import { type EngineFigures, EngineModel } from "../engine_model.ts";

/** Round figures, so that times can be worked out by head. */
const FIGURES: EngineFigures = {
  slots: 2,
  cacheTokens: 10_000,
  stepMs: 5,
  slotMs: 0,
  contextMs: 0,
  readRate: 50,
  chunk: 1_000,
  pairsMs: 0,
  stride: 2,
  firstMs: 10,
  fetchMs: 3,
  fetchThousandMs: 1,
  slowness: 1,
};
const SHARED = { id: "shared", tokens: 2_000 };

interface Seen {
  readonly events: { id: number; at: number }[];
  ended: "complete" | "lost" | undefined;
}

describe("a modelled engine", () => {
  let time: VirtualTime;
  let one: EngineModel;
  let two: EngineModel;

  beforeEach(() => {
    time = new VirtualTime();
    const engines: EngineModel[] = [];
    const build = (name: string): EngineModel =>
      new EngineModel({
        name,
        id: name,
        service: "pool",
        spot: { zone: "z", region: "r" },
        slots: FIGURES.slots,
        work: 0,
      }, {
        time,
        runs: [],
        figures: FIGURES,
        peers: (address) => engines.find((engine) => engine.name === address),
      });
    one = build("one");
    two = build("two");
    engines.push(one, two);
  });

  function send(
    engine: EngineModel,
    { own = 1_000, shared = false, events = 3, urgency, prefixFrom }: {
      own?: number;
      shared?: boolean;
      events?: number;
      urgency?: number;
      prefixFrom?: string;
    } = {},
  ): Seen {
    const seen: Seen = { events: [], ended: undefined };
    const parts = [...shared ? [SHARED] : [], {
      id: `own-${own}`,
      tokens: own,
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
        event: (id) => seen.events.push({ id, at: Math.round(time.now) }),
        complete: () => seen.ended = "complete",
        lost: () => seen.ended = "lost",
      },
    };
    engine.take(request);
    return seen;
  }

  it("reads a prompt in chunks, then gives a token a step", () => {
    const seen = send(one, { own: 2_000 });
    time.runUntil(1_000);
    // 10 to begin, two steps of 5 + 20 that read; the second gives the first token.
    expect(seen.events).toEqual([
      { id: 1, at: 60 },
      { id: 2, at: 65 },
      { id: 3, at: 75 },
      { id: 4, at: 85 },
    ]);
    expect(seen.ended).toBe("complete");
    expect(one.counts.read).toBe(2_000);
  });

  it("slows what runs while it reads", () => {
    const running = send(one, { own: 100, events: 20 });
    time.runUntil(50);
    send(one, { own: 4_000 });
    time.runUntil(1_000);
    const gaps = running.events.map(({ at }, index) =>
      at - (running.events[index - 1]?.at ?? at)
    );
    expect(Math.max(...gaps)).toBeGreaterThanOrEqual(50);
    expect(Math.min(...gaps.slice(2))).toBeLessThanOrEqual(10);
  });

  it("does not read again what it keeps", () => {
    send(one, { shared: true, own: 1_001 });
    time.runUntil(500);
    send(one, { shared: true, own: 1_002 });
    time.runUntil(1_000);
    expect(one.counts.read).toBe(3_001 + 1_002);
    expect(one.counts.kept).toBe(2_000);
  });

  it("fetches what another keeps, and says so in time", () => {
    send(one, { shared: true, own: 1_001 });
    time.runUntil(500);
    const seen = send(two, { shared: true, own: 1_000, prefixFrom: "one" });
    time.runUntil(1_000);
    expect(two.counts.read).toBe(1_000);
    // 3 + 2 for the fetch, 10 to begin, one step of 25.
    expect(seen.events[0]!.at).toBe(540);
  });

  it("takes the more urgent first where it has no place", () => {
    send(one, { own: 100, events: 40 });
    send(one, { own: 101, events: 40 });
    const late = send(one, { own: 102, urgency: 8 });
    const soon = send(one, { own: 103, urgency: 2 });
    time.runUntil(5_000);
    expect(soon.events[0]!.at).toBeLessThanOrEqual(late.events[0]!.at);
    expect(late.ended).toBe("complete");
  });

  it("loses what it runs and what it keeps when it crashes", () => {
    const seen = send(one, { shared: true, own: 1_000, events: 40 });
    time.runUntil(150);
    one.crash();
    time.runUntil(1_000);
    expect(seen.ended).toBe("lost");
    expect(one.cache.kept([SHARED])).toBe(0);
  });
});
