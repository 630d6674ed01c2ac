import { beforeEach, describe, expect, it } from "vitest";
import {
  type EndpointId,
  type EndpointLife,
  type EndpointRecord,
  instant,
  milliseconds,
  type RegionId,
  StallAdjustedClock,
  type ZoneId,
} from "../../index.ts";
import { EndpointRegistry } from "../endpoint_registry.ts";
import { createEngine, POOL } from "./engine_fixture.ts";

const REGION = "r" as RegionId;
const FIRST = "e1" as EndpointId;
const SECOND = "e2" as EndpointId;
const NOW = instant(10_000);

describe("the paces of a region's endpoints", () => {
  let published: Map<EndpointId, EndpointRecord>;
  let catalogue: { generation: number };
  let registry: EndpointRegistry;

  const publish = (id: EndpointId, life: number): void => {
    published.set(id, {
      ...createEngine(id).record,
      life: life as EndpointLife,
    });
    catalogue.generation++;
    registry.syncWithCatalogue(instant(0));
  };
  const state = (id: EndpointId) => registry.get(id)!;
  const told = (endpoint: EndpointId, contention = 250, age = 0) => [
    { endpoint, contention, age },
  ];

  beforeEach(() => {
    published = new Map();
    const fields = {
      generation: 0,
      evacuatedZones: new Set(),
      endpoints: published,
      document: { services: new Map([[POOL.id, POOL]]) },
    };
    catalogue = fields;
    registry = new EndpointRegistry({
      region: REGION,
      regionByZone: new Map([["z1" as ZoneId, REGION]]),
      catalogue: fields as never,
      clock: new StallAdjustedClock(instant(0)),
      isLeaving: () => false,
      backoffOf: () => milliseconds(0),
    });
    publish(FIRST, 1);
    publish(SECOND, 1);
    registry.usePace(true);
  });

  it("are used once a peer has reported contention", () => {
    expect(registry.reportsContention).toBe(false);
    registry.receivePaces(told(FIRST), NOW);
    expect(registry.reportsContention).toBe(true);
    expect(state(FIRST).pace.contention(NOW)).toBeGreaterThan(2);
    expect(registry.paceFigures(NOW)).toEqual({
      slow: 1,
      shared: 0,
      received: 1,
    });
  });

  it("count as usual while they are not in use", () => {
    registry.receivePaces(told(FIRST), NOW);
    registry.usePace(false);
    expect(state(FIRST).pace.contention(NOW)).toBe(1);
    expect(state(FIRST).prefillRateAt(NOW)).toBe(state(FIRST).prefillRate);
  });

  // Guards against a peer that knows endpoints which this entry doesn't know yet, or no longer.
  it("of unknown endpoints are ignored", () => {
    registry.receivePaces(told("gone" as EndpointId), NOW);
    expect(registry.reportsContention).toBe(false);
  });

  // Guards against a restarted endpoint, on another machine maybe, that counts as slow.
  it("are forgotten when an endpoint restarts", () => {
    registry.recordContention(state(FIRST), 250, NOW);
    publish(FIRST, 2);
    expect(state(FIRST).pace.contention(NOW)).toBe(1);
  });

  // Guards against a peer that was paused, or is cut off one way: what it told last must not count for long.
  it("are as usual again after a peer has fallen silent", () => {
    registry.receivePaces(told(FIRST), NOW);
    expect(state(FIRST).pace.contention(instant(NOW + 3_000))).toBe(1);
  });

  // Guards against an entry that wakes from a pause and reads reports that were sent before it.
  it("don't change by figures older than what is known", () => {
    registry.recordContention(state(FIRST), 100, NOW);
    const before = state(FIRST).pace.contention(NOW);
    registry.receivePaces(told(FIRST, 250, 400), NOW);
    expect(state(FIRST).pace.contention(NOW)).toBe(before);
  });

  it("are told to peers, those with the largest effect first", () => {
    registry.recordContention(state(FIRST), 200, NOW);
    registry.recordContention(state(SECOND), 280, NOW);
    expect(registry.takeUnsharedPaces(1, NOW)).toEqual(told(SECOND, 280));
    expect(registry.takeUnsharedPaces(1, NOW)).toEqual(told(FIRST, 200));
    expect(registry.takeUnsharedPaces(1, NOW)).toEqual([]);
  });
});
