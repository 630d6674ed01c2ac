import { describe, expect, it } from "vitest";
import type { Member } from "../../blackboard/index.ts";
import { instant, type RegionId } from "../../ids/index.ts";
import {
  chooseSpill,
  RECOVERY_RAMP_MS,
  type RemoteCapacity,
  type SpillInput,
} from "../index.ts";

const NOW = instant(1_000_000);
const SOUTH = "south" as RegionId;

function remote(change: Partial<RemoteCapacity> = {}): RemoteCapacity {
  const liveSince = instant(NOW - RECOVERY_RAMP_MS);
  return {
    region: SOUTH,
    member: {} as Member,
    slots: 12,
    firstTokenMs: 100,
    liveSince,
    ...change,
  };
}

const INPUT: SpillInput = {
  objective: "tail",
  localMs: 2_000,
  timeLeftMs: 10_000,
  spilledShare: 0,
  spillLimit: 0.2,
  remotes: [remote()],
  inFlightByRegion: new Map(),
  senderCount: 4,
};

describe("spilling to another region", () => {
  const cases: [string, Partial<SpillInput>, boolean][] = [
    ["a long queue here, a free region there", {}, true],
    ["a short queue here", { localMs: 300 }, false],
    ["the same queue with the cost objective: a cold prefill is not worth it", {
      objective: "cost",
      localMs: 1_500,
    }, false],
    [
      "a much longer queue with the cost objective",
      { objective: "cost", localMs: 4_000 },
      true,
    ],
    [
      "the share of requests sent away is used up",
      { spilledShare: 0.2 },
      false,
    ],
    ["no endpoint serves here, whatever the share", {
      localMs: Infinity,
      spilledShare: 0.9,
    }, true],
    ["the queue here outlasts the deadline, with the cost objective", {
      objective: "cost",
      localMs: 900,
      timeLeftMs: 800,
    }, true],
    ["the other region would miss the deadline as well", {
      localMs: 900,
      timeLeftMs: 250,
    }, false],
    ["no other region announces free capacity", { remotes: [] }, false],
    ["this entry's share of the free slots is in use", {
      inFlightByRegion: new Map([[SOUTH, 3]]),
    }, false],
    [
      "this entry's share is not yet in use",
      { inFlightByRegion: new Map([[SOUTH, 2]]) },
      true,
    ],
    ["a region that just became reachable again: one at a time", {
      remotes: [remote({ liveSince: NOW })],
      inFlightByRegion: new Map([[SOUTH, 1]]),
    }, false],
    ["a region that became reachable again a while ago", {
      remotes: [remote()],
      inFlightByRegion: new Map([[SOUTH, 1]]),
    }, true],
  ];

  it.each(cases)("%s", (_, change, spills) => {
    expect(chooseSpill({ ...INPUT, ...change }, NOW) !== undefined).toBe(
      spills,
    );
  });

  it("chooses the region with the lower estimate", () => {
    const nearer = remote({ region: "macon" as RegionId, firstTokenMs: 50 });
    expect(
      chooseSpill({ ...INPUT, remotes: [remote(), nearer] }, NOW)?.region,
    ).toBe("macon");
  });
});
