import { beforeEach, describe, expect, it } from "vitest";
import type { CatalogueEpoch, Revision } from "../../ids/index.ts";
import { type CataloguePosition, NO_POSITION } from "../../routes/index.ts";
import { EpochTracker } from "../epoch_tracker.ts";

const at = (epoch: number, revision: number): CataloguePosition => ({
  epoch: epoch as CatalogueEpoch,
  revision: revision as Revision,
});

// Guards against changes that are applied to a picture of another epoch.
describe("an answer of the platform", () => {
  let tracker: EpochTracker;
  const judge = (
    epoch: number | undefined,
    { asked, held = asked, whole = false }: {
      asked: CataloguePosition;
      held?: CataloguePosition;
      whole?: boolean;
    },
  ): string => {
    tracker.ask(asked);
    return tracker.judge(epoch as CatalogueEpoch | undefined, { held, whole });
  };

  beforeEach(() => {
    tracker = new EpochTracker();
  });

  it("is the first", () => {
    expect(judge(4, { asked: NO_POSITION, whole: true })).toBe("current");
    expect(judge(4, { asked: at(4, 7) })).toBe("current");
  });

  it.each([
    ["a higher epoch", 5],
    ["a lower epoch", 3],
  ])("states %s, and the same from then on", (_name, epoch) => {
    judge(4, { asked: NO_POSITION, whole: true });
    expect(judge(epoch, { asked: at(4, 7) })).toBe("restored");
    expect(judge(epoch, { asked: at(4, 7), whole: true })).toBe("current");
    expect(judge(4, { asked: at(5, 7) })).toBe("restored");
  });

  it("states no epoch any more", () => {
    judge(4, { asked: NO_POSITION, whole: true });
    expect(judge(undefined, { asked: at(4, 7) })).toBe("current");
    expect(judge(4, { asked: at(4, 7) })).toBe("current");
  });

  it("states an epoch for the first time, to an entry that holds something", () => {
    judge(undefined, { asked: NO_POSITION, whole: true });
    expect(judge(1, { asked: at(0, 7) })).toBe("restored");
  });

  it("was sent for before a peer's picture of a newer epoch came", () => {
    judge(1, { asked: NO_POSITION, whole: true });
    const held = at(2, 5);
    tracker.adopt(held);
    expect(judge(1, { asked: at(1, 9), held, whole: true })).toBe("late");
    expect(judge(1, { asked: at(1, 9), held })).toBe("late");
    // Changes since revision 9 of epoch 1, as epoch 2 counts.
    expect(judge(2, { asked: at(1, 9), held })).toBe("late");
    expect(judge(2, { asked: at(1, 9), held, whole: true })).toBe("current");
    expect(judge(2, { asked: held })).toBe("current");
  });
});
