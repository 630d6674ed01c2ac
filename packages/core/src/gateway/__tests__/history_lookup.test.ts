import { describe, expect, it } from "vitest";
import {
  type EndpointId,
  instant,
  milliseconds,
  type Revision,
} from "../../ids/index.ts";
import {
  type CatalogueChange,
  type CatalogueEpoch,
  NO_POSITION,
} from "../../routes/index.ts";
import { type CatalogueHistory, HistoryLookup } from "../history_lookup.ts";
import type { GatewayEffect } from "../messages.ts";
import { createEngine } from "./engine_fixture.ts";

const HEARTBEAT_MS = 1_000;
const NOW = instant(100_000);
const REVISION = 5_000;
const ENDPOINTS = ["e1", "e2"];

function heartbeats(
  count: number,
  { id = "e1", softwareVersion = "v1" } = {},
): CatalogueChange[] {
  return Array.from({ length: count + 1 }, (_, sequence) => ({
    kind: "endpoint",
    record: { ...createEngine(id, { softwareVersion }).record, sequence },
  }));
}

function historyOf(
  changes: readonly CatalogueChange[],
  fields: Partial<CatalogueHistory> = {},
): CatalogueHistory {
  const revision = REVISION as Revision;
  return { revision, changes, complete: true, ...fields };
}

describe("the history of the catalogue", () => {
  const build = (endpoints = ENDPOINTS): {
    lookup: HistoryLookup;
    distances: () => number[];
  } => {
    const effects: GatewayEffect[] = [];
    const lookup = new HistoryLookup({
      emit: (effect) => effects.push(effect),
      catalogue: {
        endpoints: new Map(endpoints.map((id) => [id, {}])),
        lastAnsweredAt: NOW,
        position: { ...NO_POSITION, revision: REVISION as Revision },
      } as never,
      heartbeat: milliseconds(HEARTBEAT_MS),
    });
    const distances = (): number[] =>
      effects.flatMap((effect) =>
        effect.kind === "readHistory" ? [REVISION - effect.after] : []
      );
    return { lookup, distances };
  };

  it("is read once, as far back as a stream lasts", () => {
    const { lookup, distances } = build();
    lookup.begin();
    lookup.begin();
    expect(distances()).toEqual([50]);
  });

  it("is read to a limit before many endpoints", () => {
    const ids = Array.from({ length: 100 }, (_, index) => `e${index}`);
    const { lookup, distances } = build(ids);
    lookup.begin();
    expect(distances()).toEqual([1_000]);
  });

  it("is read less far back where the platform keeps less", () => {
    const { lookup, distances } = build();
    lookup.begin();
    for (let attempt = 0; attempt < 6; attempt++) {
      expect(lookup.receive(undefined, NOW)).toBeUndefined();
    }
    expect(distances()).toEqual([50, 25, 12, 6]);
  });

  it("spans the time that half of the endpoints' heartbeats take", () => {
    const { lookup } = build();
    const changes = [
      ...heartbeats(40, { id: "e1" }),
      ...heartbeats(20, { id: "e2" }),
      ...heartbeats(20, { id: "e3", softwareVersion: "v2" }),
    ];
    const seen = lookup.receive(historyOf(changes), NOW);
    expect(seen!.since).toBe(NOW - 0.9 * 20 * HEARTBEAT_MS);
    const versions = new Set(seen!.versions.map(({ version }) => version));
    expect(versions).toEqual(new Set(["v1", "v2"]));
  });

  // Guards against a version that is missing, so that a stream would go on at another one.
  it.each<[string, CatalogueHistory]>([
    [
      "a revision is missing",
      historyOf(heartbeats(20), { complete: false }),
    ],
    [
      "the platform was restored",
      historyOf(heartbeats(20), { epoch: 7 as CatalogueEpoch }),
    ],
    [
      "an endpoint was removed whose version is not in it",
      historyOf([
        { kind: "endpointRemoved", id: "e9" as EndpointId },
        ...heartbeats(20),
      ]),
    ],
  ])("proves nothing where %s", (_name, history) => {
    expect(build().lookup.receive(history, NOW)).toBeUndefined();
  });
});
