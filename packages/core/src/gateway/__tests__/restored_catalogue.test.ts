import { beforeEach, describe, expect, it } from "vitest";
import {
  type CatalogueEpoch,
  type CatalogueSnapshot,
  type Gateway,
  type GatewayEffect,
  instant,
  type Revision,
} from "../../index.ts";
import { startGateway } from "./gateway_fixture.ts";
import { REGION, SNAPSHOT, ZONE } from "./resume_fixture.ts";

type Event = Parameters<Gateway["handle"]>[0];

describe("the catalogue after a restore", () => {
  let gateway: Gateway;
  let now: number;
  let effects: GatewayEffect[];

  const handle = (event: Event): void => {
    effects.push(...gateway.handle(event, instant(now)));
  };
  const at = (
    epoch: number,
    revision: number,
    version = SNAPSHOT.document!.version as number,
  ): CatalogueSnapshot => ({
    ...SNAPSHOT,
    epoch: epoch as CatalogueEpoch,
    revision: revision as Revision,
    document: { ...SNAPSHOT.document!, version: version as Revision },
  });
  /** Runs the gateway until it sends a read, and returns that. */
  const nextRead = (): Extract<GatewayEffect, { kind: "readCatalogue" }> => {
    effects = [];
    for (let ticks = 0; ticks < 1_000; ticks++) {
      now += 25;
      handle({ kind: "tick" });
      const read = effects.find((effect) => effect.kind === "readCatalogue");
      if (read !== undefined) {
        return read;
      }
    }
    throw new Error("No read was sent");
  };
  const position = (): [number, number] => {
    const { epoch, revision } = gateway.catalogue.position;
    return [epoch, revision];
  };

  beforeEach(() => {
    gateway = startGateway({ zone: ZONE, region: REGION });
    now = 0;
    effects = [];
    nextRead();
    handle({ kind: "catalogueRead", snapshot: at(2, 10) });
  });

  // Guards against a loop of compacted reads and full reads, which ends in a missed change.
  it("is read in full once if the platform's changes belong to another epoch", () => {
    expect(nextRead().after).toBe(10);
    handle({ kind: "catalogueCompacted", epoch: 3 as CatalogueEpoch });
    expect(nextRead().after).toBeUndefined();
    handle({ kind: "catalogueRead", snapshot: at(3, 4) });
    expect(position()).toEqual([3, 4]);
    expect(nextRead().after).toBe(4);
  });

  // Guards against applying changes that count from a position in another epoch.
  it("ignores changes of another epoch", () => {
    nextRead();
    handle({
      kind: "catalogueChanged",
      changes: {
        epoch: 3 as CatalogueEpoch,
        revision: 12 as Revision,
        changes: [{ kind: "evacuated", zone: ZONE }],
      },
    });
    expect(gateway.catalogue.evacuatedZones.size).toBe(0);
    expect(nextRead().after).toBeUndefined();
  });

  // Guards against a peer that was disconnected during the restore and passes on its catalogue from before.
  it("is not replaced by a copy of an earlier epoch", () => {
    handle({ kind: "catalogueCopied", snapshot: at(1, 99) });
    expect(position()).toEqual([2, 10]);
  });

  it("takes only a newer document from a copy of an earlier epoch", () => {
    const { generation } = gateway.catalogue;
    handle({ kind: "catalogueCopied", snapshot: at(1, 99, 40) });
    expect(gateway.catalogue.document?.version).toBe(40);
    expect(gateway.catalogue.generation).toBeGreaterThan(generation);
    expect(position()).toEqual([2, 10]);
  });

  it("is copied from a peer of a later epoch, and then read in full", () => {
    handle({ kind: "catalogueCopied", snapshot: at(3, 4) });
    expect(position()).toEqual([3, 4]);
    expect(nextRead().after).toBeUndefined();
  });

  // Guards against an answer to a read that was under way when a peer's copy arrived.
  it("ignores the answer to a read that was sent before the copy", () => {
    nextRead();
    handle({ kind: "catalogueCopied", snapshot: at(3, 4) });
    handle({
      kind: "catalogueChanged",
      changes: {
        epoch: 2 as CatalogueEpoch,
        revision: 11 as Revision,
        changes: [{ kind: "evacuated", zone: ZONE }],
      },
    });
    expect(position()).toEqual([3, 4]);
    expect(gateway.catalogue.evacuatedZones.size).toBe(0);
  });

  it("keeps its document if the restored one is older", () => {
    nextRead();
    handle({ kind: "catalogueRead", snapshot: at(3, 4, 0) });
    expect(position()).toEqual([3, 4]);
    expect(gateway.catalogue.document?.version)
      .toBe(SNAPSHOT.document!.version);
  });
});
