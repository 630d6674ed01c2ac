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

describe("a catalogue and its epochs", () => {
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
  /** Lets it run until it has sent a read, and returns that. */
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

  // Guards against a loop of refused reads and whole ones, which ends in a missed change.
  it("is read whole once where its history belongs to another epoch", () => {
    expect(nextRead().after).toBe(10);
    handle({ kind: "catalogueCompacted", epoch: 3 as CatalogueEpoch });
    expect(nextRead().after).toBeUndefined();
    handle({ kind: "catalogueRead", snapshot: at(3, 4) });
    expect(position()).toEqual([3, 4]);
    expect(nextRead().after).toBe(4);
  });

  // Guards against changes that are applied although they count from elsewhere.
  it("takes no changes of another epoch", () => {
    nextRead();
    handle({
      kind: "catalogueChanged",
      changes: {
        epoch: 3 as CatalogueEpoch,
        revision: 12 as Revision,
        changes: [{ kind: "evacuated", zone: ZONE }],
      },
    });
    expect(gateway.catalogue.evacuated.size).toBe(0);
    expect(nextRead().after).toBeUndefined();
  });

  // Guards against a peer that was cut off over the restore, and passes on what it held before.
  it("is not turned back by a copy of an earlier epoch", () => {
    handle({ kind: "catalogueCopied", snapshot: at(1, 99) });
    expect(position()).toEqual([2, 10]);
  });

  it("takes a newer document of any copy, and the rest as before", () => {
    const { generation } = gateway.catalogue;
    handle({ kind: "catalogueCopied", snapshot: at(1, 99, 40) });
    expect(gateway.catalogue.document?.version).toBe(40);
    expect(gateway.catalogue.generation).toBeGreaterThan(generation);
    expect(position()).toEqual([2, 10]);
  });

  it("is copied from a peer of a later epoch, and then read whole", () => {
    handle({ kind: "catalogueCopied", snapshot: at(3, 4) });
    expect(position()).toEqual([3, 4]);
    expect(nextRead().after).toBeUndefined();
  });

  // Guards against an answer that was under way while a peer's copy came.
  it("is not turned back by an answer that was sent for before", () => {
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
    expect(gateway.catalogue.evacuated.size).toBe(0);
  });

  it("keeps a newer document than a copy of the platform has", () => {
    nextRead();
    handle({ kind: "catalogueRead", snapshot: at(3, 4, 0) });
    expect(position()).toEqual([3, 4]);
    expect(gateway.catalogue.document?.version)
      .toBe(SNAPSHOT.document!.version);
  });
});
