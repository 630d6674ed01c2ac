import { beforeEach, describe, expect, it } from "vitest";
import {
  EarlyRelay,
  instant,
  milliseconds,
  OwnOutlook,
  type RegionId,
  RegionOutlooks,
  type RelayQuestion,
  type ServiceFigures,
} from "../../index.ts";
import {
  engine,
  figures,
  NORTH,
  POOL,
  question,
  regionOutlook,
  SOUTH,
  WEST,
} from "./outlook_fixture.ts";

/** Requests start after about a second. */
const BUSY = figures([engine({ pendingTokens: 10_000 })], 30_000);

describe("early relays", () => {
  let now: number;
  let current: ServiceFigures;
  let isOn: boolean;
  let outlooks: RegionOutlooks;
  let relay: EarlyRelay;

  beforeEach(() => {
    now = 0;
    current = BUSY;
    isOn = true;
    outlooks = new RegionOutlooks(NORTH);
    relay = new EarlyRelay({
      isOn: () => isOn,
      outlooks,
      own: new OwnOutlook({
        region: NORTH,
        services: () => [POOL],
        figuresOf: () => current,
        onChange: () => {},
      }),
    });
  });

  function hear(
    region: RegionId,
    outlook: { delay?: number; spare?: number; age?: number } = {},
  ): void {
    outlooks.update(regionOutlook(region, outlook), instant(now));
  }

  function send(changes: Partial<RelayQuestion> = {}): RegionId | undefined {
    const asked = question(changes);
    const choice = relay.choose(asked, instant(now));
    if (choice !== undefined) {
      relay.record(asked, choice, instant(now));
    }
    return choice?.region;
  }

  it("send a request that would be late here to a region that begins it in time", () => {
    hear(SOUTH);
    expect(send()).toBe(SOUTH);
    expect(relay.counts).toEqual({ requests: 1, tokens: 5_000 });
  });

  it("keep a request that is on time here, since bytes between regions cost", () => {
    hear(SOUTH);
    current = figures([engine({ pendingTokens: 12_000 })]);
    expect(send()).toBeUndefined();
  });

  it("keep a request that is late in both regions", () => {
    hear(SOUTH, { delay: 900 });
    expect(send()).toBeUndefined();
    expect(send({ waited: milliseconds(850) })).toBeUndefined();
  });

  it("send a late request if it would be refused here", () => {
    hear(SOUTH, { delay: 800 });
    expect(send({ patience: milliseconds(1_150) })).toBe(SOUTH);
  });

  it("keep a request that no allowed region would begin sooner", () => {
    hear(SOUTH, { delay: 40 });
    expect(send({ regions: [WEST] })).toBeUndefined();
    expect(send({ regions: [] })).toBeUndefined();
  });

  it("decide nothing while the feature is off", () => {
    hear(SOUTH);
    isOn = false;
    expect(send()).toBeUndefined();
  });

  /** Guards against guesses about regions whose entries run an earlier build, or that are cut off. */
  it("send nothing to a region that has told nothing", () => {
    expect(send()).toBeUndefined();
  });

  /** Guards against sending on and on to a region whose outlooks are lost since it became busy. */
  it("send less on an old outlook, and nothing on one past its lifetime", () => {
    hear(SOUTH);
    now = 1_600;
    expect(send()).toBeUndefined();
  });

  /** Guards against a region that sends work away and takes the same work from others. */
  it("send nothing while this region is at rest, whatever a request's own wait is", () => {
    hear(SOUTH);
    current = figures([engine()]);
    expect(send({ localWait: milliseconds(950) })).toBeUndefined();
  });

  /** Guards against all entries sending at once all that a region can take. */
  it("send no more than this entry's share of what is told to spare", () => {
    hear(SOUTH, { spare: 40_000 });
    const sent = Array.from({ length: 10 }, () => send({ entries: 2 }));
    // 300 ms of half of the rate are 6,000 tokens: one request of 5,000 and one that overdraws.
    expect(sent.filter((region) => region === SOUTH)).toHaveLength(2);
  });

  describe("of one subject", () => {
    it("go to the same region, which prefills it once", () => {
      hear(SOUTH);
      hear(WEST);
      const first = send({ subject: "one" });
      expect(relay.choose(question({ subject: "one" }), instant(now))).toEqual({
        region: first,
        tokens: 1_000,
      });
      now = 200;
      hear(SOUTH, { spare: first === SOUTH ? 1_000 : 900_000 });
      hear(WEST, { spare: first === WEST ? 1_000 : 900_000 });
      now = 5_000;
      hear(SOUTH);
      hear(WEST);
      expect(send({ subject: "one" })).toBe(first);
    });

    it("are spread over the regions by what these have to spare", () => {
      const counts = new Map<RegionId | undefined, number>();
      for (let index = 0; index < 200; index++) {
        now += 300;
        hear(SOUTH, { spare: 300_000 });
        hear(WEST, { spare: 100_000 });
        const region = send({ subject: `subject ${index}` });
        counts.set(region, (counts.get(region) ?? 0) + 1);
      }
      expect(counts.get(SOUTH)).toBeGreaterThan(120);
      expect(counts.get(WEST)).toBeGreaterThan(25);
    });

    /** Guards against a queue that is left for a region that has to prefill all anew. */
    it("stay if the cached part saves more than the other region's shorter queue", () => {
      current = figures([engine({ pendingTokens: 10_000 })], 20_000);
      hear(SOUTH, { delay: 500 });
      const cached = { uncachedTokens: 1_000, promptTokens: 15_000 };
      expect(send({ ...cached, sharedTokens: 14_000 })).toBeUndefined();
      expect(send({ uncachedTokens: 15_000, promptTokens: 15_000 })).toBe(
        SOUTH,
      );
    });
  });
});
