import { describe, expect, it } from "vitest";
import type {
  CustomerId,
  Incarnation,
  Instant,
  ServiceId,
} from "../../ids/index.ts";
import { instant } from "../../ids/index.ts";
import {
  boundPlaced,
  DEMAND_LIFETIME_MS,
  DEMAND_PERIOD_MS,
  type DemandReport,
  DemandReporter,
  groupWaiting,
  MAX_GROUPS,
  NO_DEMAND,
  type PlacedGroup,
  RegionDemand,
} from "../index.ts";

const SERVICE = "pool" as ServiceId;
const PEER = "b1" as Incarnation;
const CLOCK = {
  since: (then: Instant, now: Instant) => now - then,
} as ConstructorParameters<typeof RegionDemand>[0];

function waiting(
  { rank = 0, late = false, tokens = 1_000 }: {
    rank?: number;
    late?: boolean;
    tokens?: number;
  },
): DemandReport {
  return {
    ...NO_DEMAND,
    waiting: [{
      service: SERVICE,
      rank,
      late,
      customer: undefined,
      requests: 1,
      tokens,
    }],
  };
}

describe("placed requests in a report", () => {
  const placed = (service: string, index: number): PlacedGroup => ({
    service: service as ServiceId,
    customer: `c${index}` as CustomerId,
    requests: 1,
    tokens: index,
  });

  /** Guards against datagrams that are too large, and against a region that seems to do less with more customers. */
  it("are bounded, with the sum of each service kept", () => {
    const groups = Array.from(
      { length: 100 },
      (_, index) => placed(index % 2 === 0 ? "pool" : "other", index),
    );
    const bounded = boundPlaced(groups);
    expect(bounded).toHaveLength(MAX_GROUPS);
    const sum = (items: readonly PlacedGroup[], service: string) =>
      items.filter((item) => item.service === service)
        .reduce((total, { tokens }) => total + tokens, 0);
    expect(sum(bounded, "pool")).toBe(sum(groups, "pool"));
    expect(sum(bounded, "other")).toBe(sum(groups, "other"));
    expect(bounded[0]?.customer).toBe("c99");
  });

  it("are added up over customers for a service", () => {
    const demand = new RegionDemand(CLOCK);
    const own = [placed("pool", 3), placed("pool", 4), placed("other", 5)];
    demand.setOwn({ ...NO_DEMAND, placed: own });
    expect(demand.placedPerSecond(SERVICE)).toEqual({ requests: 2, tokens: 7 });
  });
});

describe("the demand of a region", () => {
  it("adds up what goes before a request at all entries", () => {
    const demand = new RegionDemand(CLOCK);
    demand.setOwn(waiting({ rank: 0, tokens: 100 }));
    demand.receive(PEER, waiting({ rank: 1, tokens: 10 }), instant(0));
    const ahead = (rank: number, late: boolean) =>
      demand.waitingAhead({ service: SERVICE, rank, late }).tokens;
    expect(ahead(0, false)).toBe(100);
    expect(ahead(1, false)).toBe(110);
    expect(ahead(0, true)).toBe(110);
  });

  it("puts late requests behind all others", () => {
    const demand = new RegionDemand(CLOCK);
    demand.setOwn(waiting({ rank: 0, late: true }));
    const position = { service: SERVICE, rank: 2, late: false };
    expect(demand.waitingAhead(position).requests).toBe(0);
  });

  it("forgets a peer that has fallen silent", () => {
    const demand = new RegionDemand(CLOCK);
    demand.receive(PEER, waiting({}), instant(0));
    demand.expire(instant(DEMAND_LIFETIME_MS));
    expect(demand.entries).toBe(2);
    demand.expire(instant(DEMAND_LIFETIME_MS + 1));
    expect(demand.entries).toBe(1);
  });

  describe("in a report", () => {
    it("keeps the largest groups where there are too many", () => {
      const items = Array.from({ length: MAX_GROUPS + 8 }, (_, index) => ({
        service: SERVICE,
        rank: 0,
        late: false,
        customer: `c${index}` as CustomerId,
        tokens: index,
      }));
      const groups = groupWaiting(items);
      expect(groups).toHaveLength(MAX_GROUPS);
      expect(Math.min(...groups.map(({ tokens }) => tokens))).toBe(8);
    });
  });

  describe("is reported", () => {
    function reporter(measured: { report: DemandReport }): {
      reporter: DemandReporter;
      sent: DemandReport[];
      demand: RegionDemand;
    } {
      const sent: DemandReport[] = [];
      const demand = new RegionDemand(CLOCK);
      const reporter = new DemandReporter({
        demand,
        isWanted: () => true,
        measure: () => measured.report,
        send: (report) => sent.push(report),
      });
      return { reporter, sent, demand };
    }

    it("while requests wait, and once more when none is left", () => {
      const measured = { report: waiting({}) };
      const { reporter: told, sent } = reporter(measured);
      told.tick(instant(0));
      measured.report = NO_DEMAND;
      [1, 2, 3].forEach((turn) => told.tick(instant(turn * DEMAND_PERIOD_MS)));
      expect(sent.map(({ waiting }) => waiting.length)).toEqual([1, 0]);
    });

    it("by an entry without a queue while another entry has one", () => {
      const { reporter: told, sent, demand } = reporter({ report: NO_DEMAND });
      demand.receive(PEER, waiting({}), instant(0));
      told.tick(instant(1));
      expect(sent).toHaveLength(1);
    });
  });
});
