import { describe, expect, it } from "vitest";
import { instant, type RegionId } from "../../index.ts";
import { EntryCensus } from "../entry_census.ts";
import type { EntryState, MemberHealth } from "../fleet_messages.ts";
import type { FleetMember } from "../membership_list.ts";

const NORTH = "north" as RegionId;
const SOUTH = "south" as RegionId;
const MINUTE_MS = 60_000;

function member(
  id: string,
  { region = NORTH, health = "live", state = "ready", start = 1 }: {
    region?: RegionId;
    health?: MemberHealth;
    state?: EntryState;
    start?: number;
  } = {},
): FleetMember {
  return {
    record: {
      id,
      incarnation: `${id}-${start}`,
      version: 1,
      zone: "z",
      region,
      callerAddress: `${id}:80`,
      peerAddress: `${id}:90`,
      state,
      weight: 1,
    } as never,
    health,
    since: instant(0),
    heardAt: instant(0),
  };
}

describe("the census of entries", () => {
  // Guards against an entry that is cut off and takes what belongs to those that it no longer hears.
  it("counts entries that have fallen silent", () => {
    const census = new EntryCensus();
    census.update([member("a"), member("b")], instant(0));
    census.update([member("a", { health: "dead" })], instant(5_000));
    expect(census.observedIn(NORTH, instant(30 * MINUTE_MS))).toBe(2);
    expect(census.observedIn(SOUTH, instant(30 * MINUTE_MS))).toBe(0);
  });

  it("forgets silent entries after an hour", () => {
    const census = new EntryCensus();
    census.update([member("a")], instant(0));
    census.update([], instant(1_000));
    expect(census.observedIn(NORTH, instant(61 * MINUTE_MS))).toBe(0);
  });

  it("forgets entries that announced their end sooner, unless they start again", () => {
    const census = new EntryCensus();
    census.update([
      member("a", { state: "stopping" }),
      member("b", { state: "stopping" }),
    ], instant(0));
    census.update([member("b", { start: 2 })], instant(3_000));
    expect(census.observedIn(NORTH, instant(10_000))).toBe(2);
    expect(census.observedIn(NORTH, instant(MINUTE_MS))).toBe(1);
  });

  it("counts an entry that starts again once", () => {
    const census = new EntryCensus();
    const dead = member("a", { health: "dead" });
    census.update([dead, member("a", { start: 2 })], instant(0));
    expect(census.observedIn(NORTH, instant(1))).toBe(1);
  });

  // Guards against an entry that starts while others are silent and learns only of those that answer.
  it("keeps the largest number that others report", () => {
    const census = new EntryCensus();
    census.applyReport({ region: NORTH, entries: 5 }, instant(0));
    census.applyReport({ region: NORTH, entries: 3 }, instant(1));
    expect(census.reportedIn(NORTH, instant(MINUTE_MS))).toBe(5);
    expect(census.reportedIn(SOUTH, instant(MINUTE_MS))).toBe(0);
    expect(census.reportedIn(NORTH, instant(61 * MINUTE_MS))).toBe(0);
  });

  it("ignores a number that cannot be right", () => {
    const census = new EntryCensus();
    census.applyReport({ region: NORTH, entries: 1_000_000 }, instant(0));
    expect(census.reportedIn(NORTH, instant(1))).toBe(0);
  });
});
