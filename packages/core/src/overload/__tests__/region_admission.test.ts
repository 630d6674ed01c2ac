import { describe, expect, it } from "vitest";
import {
  type DemandReport,
  NO_DEMAND,
  RegionDemand,
} from "../../demand/index.ts";
import {
  type Incarnation,
  type Instant,
  instant,
  type ServiceId,
} from "../../ids/index.ts";
import { type AdmissionRequest, RegionAdmission } from "../index.ts";

const SERVICE = "pool" as ServiceId;
const PEER = "b1" as Incarnation;
const NOW = instant(10_000);
const CLOCK = {
  since: (then: Instant, now: Instant) => now - then,
} as ConstructorParameters<typeof RegionDemand>[0];
const URGENT: AdmissionRequest = {
  service: SERVICE,
  rank: 0,
  tokens: 700,
  timeUntilLate: 900,
  timeLeft: 15_000,
  returned: false,
};
const LONG: AdmissionRequest = {
  ...URGENT,
  rank: 2,
  tokens: 4_700,
  timeUntilLate: 2_000,
  timeLeft: 5_000,
};

function waiting(
  ...groups: { rank: number; late?: boolean; tokens: number }[]
): DemandReport {
  return {
    ...NO_DEMAND,
    waiting: groups.map(({ rank, late = false, tokens }) => ({
      service: SERVICE,
      rank,
      late,
      customer: undefined,
      requests: 0,
      tokens,
    })),
  };
}

/** An admission of one of two entries whose endpoints place ten units a millisecond. */
function build(
  { own = NO_DEMAND, peer, isOn = true, entries = 2 }: {
    own?: DemandReport;
    peer?: DemandReport;
    isOn?: boolean;
    entries?: number;
  },
): RegionAdmission {
  const demand = new RegionDemand(CLOCK);
  demand.setOwn(own);
  if (peer !== undefined) {
    demand.receive(PEER, peer, NOW);
  }
  const admission = new RegionAdmission({
    isOn: () => isOn,
    demand,
    regionEntries: () => entries,
    assumedRate: () => 10,
  });
  admission.tick(NOW);
  return admission;
}

describe("the admission of a region", () => {
  it("takes what waits at all entries into account", () => {
    const quiet = build({ peer: waiting({ rank: 2, tokens: 10_000 }) });
    expect(quiet.expectedWait(LONG, NOW)).toBe(1_000);
    expect(quiet.refuses(LONG, NOW)).toBe(false);
    const full = build({ peer: waiting({ rank: 2, tokens: 60_000 }) });
    expect(full.refuses(LONG, NOW)).toBe(true);
  });

  it("does not let an urgent request wait behind less urgent ones", () => {
    const full = build({
      own: waiting({ rank: 2, tokens: 60_000 }),
      peer: waiting({ rank: 2, tokens: 60_000 }, {
        rank: 0,
        late: true,
        tokens: 60_000,
      }),
    });
    expect(full.expectedWait(URGENT, NOW)).toBe(0);
    expect(full.refuses(URGENT, NOW)).toBe(false);
  });

  it("refuses nothing while nothing waits", () => {
    const admission = build({ peer: NO_DEMAND });
    const late = { ...LONG, timeUntilLate: -500, timeLeft: 100 };
    expect(admission.refuses(late, NOW)).toBe(false);
  });

  /** Guards against refusals of a quiet customer's request because of the queue of a loud one. */
  it("counts only the part of its class that goes before a request", () => {
    const admission = build({ peer: waiting({ rank: 2, tokens: 60_000 }) });
    expect(admission.refuses(LONG, NOW, 0.1)).toBe(false);
    expect(admission.refuses(LONG, NOW, 0.9)).toBe(true);
  });

  it("counts what was queued since the last report", () => {
    const admission = build({ peer: NO_DEMAND });
    for (let index = 0; index < 20; index++) {
      admission.noteQueue(LONG, 1);
    }
    expect(admission.refuses(LONG, NOW)).toBe(true);
    for (let index = 0; index < 19; index++) {
      admission.noteQueue(LONG, -1);
    }
    expect(admission.refuses(LONG, NOW)).toBe(false);
  });

  describe("with waiting requests", () => {
    it("keeps one that is near its place, and gives up one that is behind too many", () => {
      const admission = build({
        own: waiting({ rank: 2, tokens: 60_000 }),
        peer: NO_DEMAND,
      });
      expect(admission.isHopeless(LONG, 0.1, NOW)).toBe(false);
      expect(admission.isHopeless(LONG, 1, NOW)).toBe(true);
    });
  });

  describe("with a late request", () => {
    const late = { ...LONG, timeUntilLate: -100 };

    /** Guards against a late request that takes the place of one that waits at the neighbour. */
    it("leaves its place to requests on time that wait at other entries", () => {
      const admission = build({ peer: waiting({ rank: 0, tokens: 700 }) });
      expect(admission.leavesPlace(late, NOW)).toBe(true);
      expect(admission.leavesPlace(LONG, NOW)).toBe(false);
    });

    it("fills places that nobody else wants", () => {
      const admission = build({
        peer: waiting({ rank: 0, late: true, tokens: 700 }),
      });
      expect(admission.leavesPlace(late, NOW)).toBe(false);
    });

    it("gets no places where work on time takes the whole rate", () => {
      const admission = build({
        own: waiting({ rank: 2, tokens: 700 }),
        peer: NO_DEMAND,
      });
      for (let index = 0; index < 20; index++) {
        admission.noteArrival(URGENT, NOW);
      }
      expect(admission.leavesPlace(late, NOW)).toBe(true);
      expect(admission.isHopeless(late, 1, NOW)).toBe(true);
    });
  });

  describe("with returning callers", () => {
    it("puts them before new requests of their class", () => {
      const admission = build({ peer: waiting({ rank: 2, tokens: 60_000 }) });
      expect(admission.refuses({ ...LONG, returned: true }, NOW)).toBe(false);
      expect(admission.refuses(LONG, NOW)).toBe(true);
    });

    it("keeps room for those that are expected", () => {
      const admission = build({ peer: waiting({ rank: 2, tokens: 9_000 }) });
      const before = admission.expectedWait(LONG, NOW)!;
      const patient = { ...LONG, timeLeft: 9_000 };
      const first = admission.bookReturn(patient, NOW)!;
      const second = admission.bookReturn(patient, NOW)!;
      expect(first).toBe(900);
      expect(second).toBeGreaterThan(first);
      expect(admission.expectedReturns).toBe(2);
      expect(admission.expectedWait(LONG, NOW)).toBeGreaterThan(before);
      admission.noteArrival({ ...LONG, returned: true }, NOW);
      expect(admission.expectedReturns).toBe(1);
      expect(admission.counts.returned).toBe(1);
    });
  });

  describe("without knowledge of the region", () => {
    /** Guards against decisions by a region's queue of which an entry that is cut off hears nothing. */
    it("decides nothing while no other entry reports", () => {
      const admission = build({ own: waiting({ rank: 2, tokens: 60_000 }) });
      expect(admission.isInformed).toBe(false);
      expect(admission.refuses(LONG, NOW)).toBeUndefined();
      expect(admission.isHopeless(LONG, 1, NOW)).toBeUndefined();
      expect(admission.bookReturn(LONG, NOW)).toBeUndefined();
      expect(admission.expectedWait(LONG, NOW)).toBeUndefined();
    });

    it("decides by its own queue where it is the only entry", () => {
      const admission = build({
        own: waiting({ rank: 2, tokens: 60_000 }),
        entries: 1,
      });
      expect(admission.refuses(LONG, NOW)).toBe(true);
    });

    /** Guards against a queue that looks short because entries of an old build report nothing. */
    it("assumes that entries that report nothing have as much waiting", () => {
      const peer = waiting({ rank: 2, tokens: 10_000 });
      const half = build({ own: peer, peer, entries: 4 });
      expect(half.expectedWait(LONG, NOW)).toBe(4_000);
    });
  });

  it("decides nothing while the feature is off", () => {
    const admission = build({
      own: waiting({ rank: 2, tokens: 60_000 }),
      peer: waiting({ rank: 0, tokens: 60_000 }),
      isOn: false,
    });
    expect(admission.refuses(LONG, NOW)).toBeUndefined();
    expect(admission.isHopeless(LONG, 1, NOW)).toBeUndefined();
    expect(admission.leavesPlace({ ...LONG, timeUntilLate: -1 }, NOW))
      .toBe(false);
    expect(admission.bookReturn(LONG, NOW)).toBeUndefined();
    admission.noteArrival({ ...LONG, returned: true }, NOW);
    expect(admission.counts.returned).toBe(0);
  });
});
