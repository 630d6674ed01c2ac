import { describe, expect, it } from "vitest";
import {
  type EndpointId,
  type Incarnation,
  instant,
  milliseconds,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import { ColdAllowance } from "../cold_allowance.ts";
import { EndpointHealth } from "../endpoint_health.ts";
import { EndpointState } from "../endpoint_state.ts";
import type { GatewayBounds } from "../messages.ts";

const SERVICE = "s" as ServiceId;
const BOUNDS: GatewayBounds = {
  retryRatio: 0.2,
  retryWindow: milliseconds(10_000),
  retrySlack: 54,
  coldOvershoot: 1.5,
  coldSlack: 3,
  listLifetime: milliseconds(1_000),
  stopTime: milliseconds(8_000),
};

describe("the allowance of a cold endpoint", () => {
  const state = new EndpointState(
    {
      id: "e" as EndpointId,
      service: SERVICE,
      address: "e:1",
      zone: "z" as ZoneId,
      softwareVersion: "v",
      slots: 1,
      state: "ready",
      coldFor: milliseconds(5_000),
      leavesIn: undefined,
      life: undefined,
      sequence: 1,
    },
    {
      id: SERVICE,
      healthPath: "/",
      connectionLimit: 1,
      coldRate: 1.9,
      coldPeriod: milliseconds(3_000),
      engine: undefined,
    },
    instant(0),
  );

  it("stays within the bound even if two entries both own the endpoint", () => {
    const candidates = ["a", "b", "c"] as Incarnation[];
    let sent = 0;
    for (const self of candidates) {
      const cold = new ColdAllowance(BOUNDS, instant(-10_000));
      while (cold.allows(state, { self, candidates, silent: 0 }, instant(10))) {
        cold.recordSend(state.record.id, instant(10));
        sent++;
      }
    }
    const bound = 1.9 * BOUNDS.coldOvershoot + BOUNDS.coldSlack;
    expect(sent).toBeGreaterThan(0);
    expect(2 * sent).toBeLessThanOrEqual(bound);
  });

  // Guards against entries that are cut off from each other and each use the share of an owner.
  it("stays within the bound if entries that are not heard own the endpoint too", () => {
    const bound = 1.9 * BOUNDS.coldOvershoot + BOUNDS.coldSlack;
    for (const entries of [3, 4, 5]) {
      const cold = new ColdAllowance(BOUNDS, instant(-10_000));
      const self = "a" as Incarnation;
      const options = { self, candidates: [self], silent: entries - 1 };
      let sent = 0;
      while (cold.allows(state, options, instant(10))) {
        cold.recordSend(state.record.id, instant(10));
        sent++;
      }
      expect(sent).toBeGreaterThan(0);
      expect(entries * sent).toBeLessThanOrEqual(bound);
    }
  });
});

describe("an endpoint's health", () => {
  it("is suspected after two consecutive broken connections, not after one", () => {
    const health = new EndpointHealth();
    health.recordOutcome("broken", instant(0));
    expect(health.isUsable(instant(1))).toBe(true);
    health.recordOutcome("broken", instant(2));
    expect(health.isUsable(instant(3))).toBe(false);
  });

  it("allows one trial request, and recovers with a good answer", () => {
    const health = new EndpointHealth();
    health.suspect(instant(0));
    expect(health.isUsable(instant(600))).toBe(true);
    health.noteRequestSent(instant(600));
    expect(health.isUsable(instant(601))).toBe(false);
    health.recordOutcome("good", instant(650));
    expect(health.isUsable(instant(651))).toBe(true);
    expect(health.isSuspected).toBe(false);
  });
});
