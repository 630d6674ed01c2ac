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

// Guards against changes that one entry tells another although they count in different epochs.
describe("what entries tell each other of changes", () => {
  let catalogue: CatalogueController;
  const tell = (position: CataloguePosition): void =>
    catalogue.told({
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
      resting: () => false,
      confirming: () => "no",
      now: instant(0),
    });
    catalogue.tick(instant(0));
    catalogue.read({ ...SNAPSHOT, ...at(2, 10) }, instant(10));
  });

  it("is followed within an epoch", () => {
    tell(at(2, 12));
    expect(catalogue.position).toEqual(at(2, 12));
    expect([...catalogue.evacuated]).toEqual([ZONE]);
  });

  it.each([1, 3])("is not followed from epoch %i", (epoch) => {
    tell(at(epoch, 12));
    expect(catalogue.position).toEqual(at(2, 10));
    expect(catalogue.evacuated.size).toBe(0);
  });

  it("is told to those of the same epoch alone", () => {
    tell(at(2, 12));
    expect(catalogue.newsSince(at(2, 10))?.revision).toBe(12);
    expect(catalogue.newsSince(at(1, 10))).toBeUndefined();
    expect(catalogue.newsSince(at(3, 10))).toBeUndefined();
  });
});
