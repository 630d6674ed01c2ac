import { describe, expect, it } from "vitest";
import {
  type EntryRecord,
  type Incarnation,
  instant,
  NO_POSITION,
  type RegionId,
  SeededRandomness,
  StallAdjustedClock,
} from "../../index.ts";
import { FleetController } from "../fleet_controller.ts";
import type { FleetMessage, MemberHealth } from "../fleet_messages.ts";
import { MembershipList } from "../membership_list.ts";

const REGION = "r" as RegionId;
const HEALTHS: readonly MemberHealth[] = ["live", "suspect", "dead"];
const STEPS = 2_000;
const STEP_MS = 500;

function record(name: string, version = 1, state = "ready"): EntryRecord {
  return {
    id: name,
    incarnation: name,
    version,
    zone: "z",
    region: REGION,
    callerAddress: `${name}:2`,
    // Two incarnations share an address, so that one replaces the other.
    peerAddress: `${name.slice(0, 1)}:1`,
    state,
    weight: 1,
  } as never;
}

function announcement(from: EntryRecord): FleetMessage {
  return {
    kind: "announce",
    from,
    holdings: { document: 0, catalogue: NO_POSITION } as never,
  };
}

function createFleet(): FleetController {
  return new FleetController({
    self: record("x"),
    seeds: [],
    pingPeriodMs: 500,
    isStandby: () => false,
    nextHolds: () => [],
    random: new SeededRandomness(1),
    clock: new StallAdjustedClock(instant(0)),
    send: () => {},
    holdings: () => ({ document: 0, catalogue: NO_POSITION }) as never,
    summary: () => ({ region: REGION, age: 0, loads: [], shares: [] }) as never,
  }, instant(0));
}

function describeEntries(_region: RegionId, fleet: FleetController): string {
  return [fleet.record, ...fleet.liveMembers().map(({ record }) => record)]
    .map(({ incarnation, state }) => `${incarnation} ${state}`).join();
}

describe("lists of members that are kept between changes", () => {
  // Guards against a stale membership list: requests would go on to entries that have ended.
  it("equal lists that are made anew after any change", () => {
    const random = new SeededRandomness(7);
    const list = new MembershipList();
    const pick = <Item>(items: readonly Item[]): Item =>
      items[Math.floor(random.next() * items.length)]!;
    for (let step = 0; step < STEPS; step++) {
      const now = instant(step * STEP_MS);
      const incarnation = `${pick(["a", "b", "c"])}${pick([1, 2])}`;
      const item = record(incarnation, 1 + Math.floor(random.next() * 4));
      pick([
        () => list.recordHeard(item, now),
        () => list.applyUpdate({ record: item, health: pick(HEALTHS) }, now),
        () => list.setHealth(incarnation as Incarnation, pick(HEALTHS), now),
        () => list.removeExpired(now),
      ])();
      const all = [...list.all()];
      for (const health of HEALTHS) {
        expect(list.withHealth(health)).toEqual(
          all.filter((member) => member.health === health),
        );
      }
      expect(list.possiblyLive()).toEqual(
        all.filter(({ health }) => health !== "dead"),
      );
    }
  });

  it("are kept while members only show that they are alive", () => {
    const list = new MembershipList();
    list.recordHeard(record("a1"), instant(0));
    const { version } = list;
    const live = list.withHealth("live");
    list.recordHeard(record("a1"), instant(100));
    expect(list.version).toBe(version);
    expect(list.withHealth("live")).toBe(live);
    expect(list.get("a1" as Incarnation)?.heardAt).toBe(100);
  });
});

describe("what is derived from the members", () => {
  // Guards against stale choices of serving entries and owners of cold endpoints.
  it("is derived again after another entry or this one has changed", () => {
    const fleet = createFleet();
    const derived = (): string => fleet.derive(describeEntries, REGION);
    expect(derived()).toBe("x starting");
    fleet.receive(announcement(record("a1")), instant(1));
    expect(derived()).toBe("x starting,a1 ready");
    fleet.changeState("ready", instant(2));
    expect(derived()).toBe("x ready,a1 ready");
    fleet.receive(announcement(record("a1", 2, "stopping")), instant(3));
    expect(derived()).toBe("x ready,a1 stopping");
    fleet.receive(announcement(record("a2")), instant(4));
    expect(derived()).toBe("x ready,a2 ready");
  });

  it("is kept by region and while nothing has changed", () => {
    const fleet = createFleet();
    const derived: RegionId[] = [];
    const derivation = (region: RegionId): number => derived.push(region);
    const other = "s" as RegionId;
    fleet.receive(announcement(record("a1")), instant(1));
    fleet.derive(derivation, REGION);
    fleet.derive(derivation, other);
    fleet.receive(announcement(record("a1")), instant(2));
    fleet.derive(derivation, REGION);
    fleet.derive(derivation, other);
    expect(derived).toEqual([REGION, other]);
  });
});
