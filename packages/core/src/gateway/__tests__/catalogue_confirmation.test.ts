import { describe, expect, it } from "vitest";
import type { CatalogueEpoch, Revision } from "../../ids/index.ts";
import { instant } from "../../ids/index.ts";
import type { CataloguePosition } from "../../routes/index.ts";
import { CatalogueConfirmation } from "../catalogue_confirmation.ts";

function position(revision: number, epoch = 1): CataloguePosition {
  return { epoch: epoch as CatalogueEpoch, revision: revision as Revision };
}

function build(): { confirmation: CatalogueConfirmation; asked: unknown[] } {
  const asked: unknown[] = [];
  const confirmation = new CatalogueConfirmation((effect) =>
    asked.push(effect)
  );
  return { confirmation, asked };
}

describe("the time as of which the catalogue is the newest", () => {
  it("is when the platform was asked, not when it answered", () => {
    const { confirmation } = build();
    confirmation.request(instant(100));
    expect(confirmation.receive(position(7), position(7))).toBe(false);
    expect(confirmation.confirmedAt).toBe(100);
  });

  it("is known once the catalogue has reached the position that the platform stated", () => {
    const { confirmation } = build();
    confirmation.request(instant(100));
    expect(confirmation.receive(position(8), position(7))).toBe(true);
    confirmation.notePosition(position(7));
    expect(confirmation.confirmedAt).toBeUndefined();
    confirmation.notePosition(position(8));
    expect(confirmation.confirmedAt).toBe(100);
  });

  // Guards against a revision that is assigned again after the platform was restored.
  it("is not known by a revision of another epoch", () => {
    const { confirmation } = build();
    confirmation.request(instant(100));
    confirmation.receive(position(7, 2), position(9, 1));
    expect(confirmation.confirmedAt).toBeUndefined();
  });

  it("stays as it was where the platform does not answer", () => {
    const { confirmation } = build();
    confirmation.request(instant(100));
    expect(confirmation.receive(undefined, position(7))).toBe(false);
    expect(confirmation.confirmedAt).toBeUndefined();
  });

  it("is asked for by one question at a time, and not at once again", () => {
    const { confirmation, asked } = build();
    [100, 110, 400].forEach((at) => confirmation.request(instant(at)));
    expect(asked.length).toBe(1);
    confirmation.receive(undefined, position(7));
    confirmation.request(instant(401));
    expect(asked.length).toBe(2);
    confirmation.receive(undefined, position(7));
    confirmation.request(instant(500));
    expect(asked.length).toBe(2);
  });
});
