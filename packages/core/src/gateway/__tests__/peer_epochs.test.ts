import { beforeEach, describe, expect, it } from "vitest";
import {
  type CatalogueEpoch,
  instant,
  type Revision,
  SeededRandomness,
  type ZoneId,
} from "../../ids/index.ts";
import type { CataloguePosition } from "../../routes/index.ts";
import { CatalogueController } from "../catalogue_controller.ts";
import { SNAPSHOT } from "./resume_fixture.ts";

const ZONE = "z" as ZoneId;

const at = (epoch: number, revision: number): CataloguePosition => ({
  epoch: epoch as CatalogueEpoch,
  revision: revision as Revision,
});

// Guards against applying changes from a peer that count revisions in another epoch.
describe("changes exchanged between peers", () => {
  let catalogue: CatalogueController;
  const receiveReport = (position: CataloguePosition): void =>
    catalogue.applyPeerReport({
      version: SNAPSHOT.document!.version,
      position,
      news: {
        revision: position.revision,
        changes: [{ kind: "evacuated", zone: ZONE }],
      },
      at: instant(0),
      from: "b:1",
    }, instant(100));

  beforeEach(() => {
    catalogue = new CatalogueController({
      emit: () => {},
      newestHolder: () => undefined,
      newestDocument: () => undefined,
      random: new SeededRandomness(1),
      isStandby: () => false,
      freshnessRole: () => "no",
      now: instant(0),
    });
    catalogue.tick(instant(0));
    catalogue.applySnapshot({ ...SNAPSHOT, ...at(2, 10) }, instant(10));
  });

  it("are applied within an epoch", () => {
    receiveReport(at(2, 12));
    expect(catalogue.position).toEqual(at(2, 12));
    expect([...catalogue.evacuatedZones]).toEqual([ZONE]);
  });

  it.each([1, 3])("are not applied from epoch %i", (epoch) => {
    receiveReport(at(epoch, 12));
    expect(catalogue.position).toEqual(at(2, 10));
    expect(catalogue.evacuatedZones.size).toBe(0);
  });

  it("are only sent to peers of the same epoch", () => {
    receiveReport(at(2, 12));
    expect(catalogue.changesSince(at(2, 10))?.revision).toBe(12);
    expect(catalogue.changesSince(at(1, 10))).toBeUndefined();
    expect(catalogue.changesSince(at(3, 10))).toBeUndefined();
  });
});
