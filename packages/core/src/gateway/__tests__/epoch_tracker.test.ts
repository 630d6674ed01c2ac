import { beforeEach, describe, expect, it } from "vitest";
import type { CatalogueEpoch, Revision } from "../../ids/index.ts";
import { type CataloguePosition, NO_POSITION } from "../../routes/index.ts";
import { EpochTracker } from "../epoch_tracker.ts";

const at = (epoch: number, revision: number): CataloguePosition => ({
  epoch: epoch as CatalogueEpoch,
  revision: revision as Revision,
});

// Guards against applying changes to a catalogue of another epoch.
describe("an answer of the platform", () => {
  let tracker: EpochTracker;
  const classify = (
    epoch: number | undefined,
    { readPosition, position = readPosition, isFullRead = false }: {
      readPosition: CataloguePosition;
      position?: CataloguePosition;
      isFullRead?: boolean;
    },
  ): string => {
    tracker.noteRead(readPosition);
    return tracker.classify(epoch as CatalogueEpoch | undefined, {
      position,
      isFullRead,
    });
  };

  beforeEach(() => {
    tracker = new EpochTracker();
  });

  it("is current if it is the first", () => {
    expect(classify(4, { readPosition: NO_POSITION, isFullRead: true })).toBe(
      "current",
    );
    expect(classify(4, { readPosition: at(4, 7) })).toBe("current");
  });

  it.each([
    ["a higher epoch", 5],
    ["a lower epoch", 3],
  ])("shows a restore if it states %s, until that is known", (_name, epoch) => {
    classify(4, { readPosition: NO_POSITION, isFullRead: true });
    expect(classify(epoch, { readPosition: at(4, 7) })).toBe("restored");
    expect(classify(epoch, { readPosition: at(4, 7), isFullRead: true })).toBe(
      "current",
    );
    expect(classify(4, { readPosition: at(5, 7) })).toBe("restored");
  });

  it("is current if it no longer states an epoch", () => {
    classify(4, { readPosition: NO_POSITION, isFullRead: true });
    expect(classify(undefined, { readPosition: at(4, 7) })).toBe("current");
    expect(classify(4, { readPosition: at(4, 7) })).toBe("current");
  });

  it("shows a restore if it states an epoch for the first time, after data was read", () => {
    classify(undefined, { readPosition: NO_POSITION, isFullRead: true });
    expect(classify(1, { readPosition: at(0, 7) })).toBe("restored");
  });

  it("is late if its read was sent before a peer's copy of a newer epoch came", () => {
    classify(1, { readPosition: NO_POSITION, isFullRead: true });
    const position = at(2, 5);
    tracker.notePeerCopy(position);
    expect(classify(1, { readPosition: at(1, 9), position, isFullRead: true }))
      .toBe("late");
    expect(classify(1, { readPosition: at(1, 9), position })).toBe("late");
    // Changes since revision 9 of epoch 1, counted by epoch 2.
    expect(classify(2, { readPosition: at(1, 9), position })).toBe("late");
    expect(classify(2, { readPosition: at(1, 9), position, isFullRead: true }))
      .toBe("current");
    expect(classify(2, { readPosition: position })).toBe("current");
  });
});
