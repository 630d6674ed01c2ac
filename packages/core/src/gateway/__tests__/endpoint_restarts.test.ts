import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type EndpointId,
  type EndpointLife,
  type EndpointRecord,
  type Incarnation,
  instant,
  MAX_PREFILL_SHARE,
  milliseconds,
  MIN_PREFILL_SHARE,
  type RegionId,
  StallAdjustedClock,
  supersedes,
  type ZoneId,
} from "../../index.ts";
import { EndpointRegistry } from "../endpoint_registry.ts";
import { createEngine, POOL } from "./engine_fixture.ts";

const REGION = "r" as RegionId;
const PEER = "peer" as Incarnation;
const PREVIOUS_LIFE = 1_000 as EndpointLife;
const CURRENT_LIFE = 2_000 as EndpointLife;
const PARTS = [{ id: "subject", tokens: 4_000 }];

function record(fields: Partial<EndpointRecord>): EndpointRecord {
  return { ...createEngine("e1").record, life: PREVIOUS_LIFE, ...fields };
}

describe("the order of an endpoint's records", () => {
  it.each([
    [{ sequence: 3 }, { sequence: 2 }, true],
    [{ sequence: 2 }, { sequence: 2 }, true],
    [{ sequence: 1 }, { sequence: 2 }, false],
    [{ life: CURRENT_LIFE, sequence: 1 }, { sequence: 90 }, true],
    [{ sequence: 91 }, { life: CURRENT_LIFE, sequence: 1 }, false],
    [{ life: undefined, sequence: 91 }, { sequence: 1 }, false],
    [{ life: undefined, sequence: 1 }, { life: undefined, sequence: 2 }, false],
  ])("%o supersedes %o: %s", (news, known, expected) => {
    expect(supersedes(record(news), record(known))).toBe(expected);
  });
});

describe("an endpoint that restarts under the same id", () => {
  let published: Map<EndpointId, EndpointRecord>;
  let catalogue: {
    generation: number;
    evacuatedZones: Set<ZoneId>;
    endpoints: Map<EndpointId, EndpointRecord>;
    document: unknown;
  };
  let registry: EndpointRegistry;

  const publish = (fields: Partial<EndpointRecord>): void => {
    published.set("e1" as EndpointId, record(fields));
    catalogue.generation++;
    registry.syncWithCatalogue(instant(0));
  };
  const report = (life: EndpointLife): void =>
    registry.receiveReport(PEER, {
      partial: false,
      endpoints: [
        {
          endpoint: "e1" as EndpointId,
          life,
          prefill: 5,
          requests: 1,
          tokens: 7,
        },
      ],
      prefixes: [{ endpoint: "e1" as EndpointId, life, parts: PARTS }],
      arrivals: [],
      picture: 0,
    }, instant(1));
  const state = () => registry.get("e1" as EndpointId)!;

  beforeEach(() => {
    published = new Map();
    catalogue = {
      generation: 0,
      evacuatedZones: new Set(),
      endpoints: published,
      document: { services: new Map([[POOL.id, POOL]]) },
    };
    registry = new EndpointRegistry({
      region: REGION,
      regionByZone: new Map([["z1" as ZoneId, REGION]]),
      catalogue: catalogue as never,
      clock: new StallAdjustedClock(instant(0)),
      isLeaving: () => false,
      backoffOf: () => milliseconds(0),
    });
    publish({});
  });

  it("starts with no cached prefixes, requests or failures", () => {
    const previous = state();
    previous.prefixes.recordUse(PARTS);
    previous.addAttempt(
      "a" as AttemptId,
      { prefill: 9, tokens: 9 },
      instant(0),
    );
    previous.health.recordOutcome("broken", instant(0));
    previous.health.recordOutcome("broken", instant(0));
    publish({ life: CURRENT_LIFE });
    expect(state()).not.toBe(previous);
    expect(state().prefixes.cachedTokens(PARTS)).toBe(0);
    expect(state().requests).toBe(0);
    expect(registry.accepts(state(), instant(1))).toBe(true);
    expect(registry.hasRestarted(previous)).toBe(true);
    expect(registry.isInService(previous)).toBe(false);
  });

  // Guards against a restarted engine that counts as busy and as holding cached prefixes it has lost. A
  // peer that does not know of the restart yet still reports its earlier work there; reports used to name
  // the endpoint but not its life.
  it("ignores a peer's report about its previous life", () => {
    report(PREVIOUS_LIFE);
    expect(state().requests).toBe(1);
    publish({ life: CURRENT_LIFE });
    report(PREVIOUS_LIFE);
    expect(state().requests).toBe(0);
    expect(state().prefixes.cachedTokens(PARTS)).toBe(0);
    report(CURRENT_LIFE);
    expect(state().requests).toBe(1);
    expect(state().prefixes.cachedTokens(PARTS)).toBe(4_000);
    registry.expire(instant(10_000));
    expect(state().requests).toBe(0);
  });

  it("ignores what a peer's answers need at its previous life, and at last what it said", () => {
    const need = (life: EndpointLife): void => {
      const pressures = [{ endpoint: "e1" as EndpointId, life, pressure: 2 }];
      registry.receivePressures(PEER, pressures, instant(1));
    };
    const share = (): number => state().answers.maxPrefillShare(instant(1));
    publish({ life: CURRENT_LIFE });
    need(PREVIOUS_LIFE);
    expect(share()).toBe(MAX_PREFILL_SHARE);
    need(CURRENT_LIFE);
    expect(share()).toBe(MIN_PREFILL_SHARE);
    registry.expire(instant(10_000));
    expect(share()).toBe(MAX_PREFILL_SHARE);
  });

  it("counts a peer's report that arrived before its record", () => {
    report(CURRENT_LIFE);
    expect(state().requests).toBe(0);
    publish({ life: CURRENT_LIFE });
    expect(state().requests).toBe(1);
  });

  // Guards against a full load for a cold endpoint, which crashes it. After an evacuation has ended, the
  // record from before arrives once more, without cold time, and must not be trusted.
  it("counts as cold after an evacuation until a later record arrives", () => {
    const service = {
      ...POOL,
      coldRate: 2,
      coldPeriod: milliseconds(3_000),
    };
    catalogue.document = { services: new Map([[POOL.id, service]]) };
    publish({ sequence: 5 });
    state().markPossiblyCold(instant(100));
    publish({ sequence: 6 });
    expect(state().isCold(instant(200))).toBe(true);
    publish({ sequence: 7 });
    expect(state().isCold(instant(200))).toBe(false);
  });
});
