import { beforeEach, describe, expect, it } from "vitest";
import type { ColdReport } from "../../fleet/index.ts";
import {
  type EndpointId,
  type Instant,
  instant,
  milliseconds,
} from "../../ids/index.ts";
import type { CatalogueView } from "../catalogue_view.ts";
import { ColdChecks } from "../cold_checks.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import { EndpointState } from "../endpoint_state.ts";
import type { GatewayEffect } from "../messages.ts";
import { createEngine, POOL } from "./engine_fixture.ts";

const MAX_AGE_MS = 3_200;

describe("health checks of endpoints", () => {
  let states: EndpointState[];
  let catalogue: { lastAnsweredAt: Instant | undefined; proofAt: number };
  let effects: GatewayEffect[];
  let announced: ColdReport[];
  let responsible: Set<string>;
  let checks: ColdChecks;

  beforeEach(() => {
    const service = { ...POOL, coldRate: 2 };
    states = ["e1", "e2"].map((name) =>
      new EndpointState(createEngine(name).record, service, instant(0))
    );
    catalogue = { lastAnsweredAt: instant(0), proofAt: -Infinity };
    effects = [];
    announced = [];
    responsible = new Set(["e1", "e2"]);
    checks = new ColdChecks({
      catalogue: {
        get lastAnsweredAt() {
          return catalogue.lastAnsweredAt;
        },
        documentFreshness: { age: (now: Instant) => now - catalogue.proofAt },
      } as unknown as CatalogueView,
      endpoints: {
        all: () => states,
        get: (id: EndpointId) => states.find(({ record }) => record.id === id),
        accepts: () => true,
      } as unknown as EndpointRegistry,
      isResponsible: (endpoint) => responsible.has(endpoint),
      announce: (reports) => announced.push(...reports),
      emit: (effect) => effects.push(effect),
    }, instant(0));
  });

  function checked(from: number, to: number): string[] {
    effects = [];
    for (let at = from; at < to; at += 25) {
      checks.tick(instant(at));
    }
    return effects.flatMap((effect) =>
      effect.kind === "checkHealth" ? [effect.endpoint] : []
    );
  }

  const answer = (endpoint: string, coldFor: number, now: number): void =>
    checks.receiveAnswer({
      endpoint: endpoint as EndpointId,
      life: undefined,
      coldFor: milliseconds(coldFor),
    }, instant(now));

  it("are not made while the catalogue is read", () => {
    for (let at = 0; at < 10_000; at += 1_000) {
      catalogue.lastAnsweredAt = instant(at);
      expect(checked(at, at + 1_000)).toEqual([]);
    }
  });

  // Reads that wait for a change are answered up to three seconds apart. Checks between them cost a tenth of the
  // processor time of a day.
  it("are not made between reads that wait for a change", () => {
    for (let at = 0; at < 12_000; at += 3_000) {
      catalogue.lastAnsweredAt = instant(at);
      expect(checked(at, at + 3_000)).toEqual([]);
    }
  });

  it("are not made while peers prove that the catalogue is current", () => {
    catalogue.proofAt = 9_000;
    expect(checked(8_000, 11_000)).toEqual([]);
  });

  it("are made ten times a second once it is old", () => {
    expect(checked(0, MAX_AGE_MS)).toEqual([]);
    const made = checked(MAX_AGE_MS + 25, MAX_AGE_MS + 1_025);
    expect(made.filter((endpoint) => endpoint === "e1").length).toBe(10);
    expect(made.filter((endpoint) => endpoint === "e2").length).toBe(10);
  });

  it("are made by one entry for each endpoint", () => {
    responsible.delete("e2");
    expect(new Set(checked(5_000, 6_000))).toEqual(new Set(["e1"]));
  });

  it("are not made where no endpoint is ever cold", () => {
    states = [createEngine("e1")];
    expect(checked(5_000, 6_000)).toEqual([]);
  });

  it("make an endpoint cold, tell the region and pause until it is warm", () => {
    answer("e1", 700, 5_000);
    expect(states[0]!.isCold(instant(5_699))).toBe(true);
    expect(states[0]!.isCold(instant(5_700))).toBe(false);
    expect(announced).toEqual([
      { endpoint: "e1", life: undefined, coldFor: 700 },
    ]);
    expect(new Set(checked(5_000, 5_700))).toEqual(new Set(["e2"]));
    expect(new Set(checked(5_700, 6_000))).toEqual(new Set(["e1", "e2"]));
  });

  // What was sent to it as to a warm endpoint counts against the bound of a cold one.
  it("keep an endpoint free for a second once it is found to be cold", () => {
    answer("e1", 3_000, 5_000);
    expect(states[0]!.restsAsCold(instant(6_099))).toBe(true);
    expect(states[0]!.restsAsCold(instant(6_100))).toBe(false);
    checks.receive(announced, instant(6_500));
    expect(states[0]!.restsAsCold(instant(6_500))).toBe(false);
  });

  it("change nothing if an endpoint is warm or another life answers", () => {
    answer("e1", 0, 5_000);
    checks.receive([{
      endpoint: "e1" as EndpointId,
      life: 7 as never,
      coldFor: milliseconds(900),
    }], instant(5_000));
    expect(states[0]!.isCold(instant(5_000))).toBe(false);
    expect(announced).toEqual([]);
  });
});
