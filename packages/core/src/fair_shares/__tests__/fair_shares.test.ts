import { describe, expect, it } from "vitest";
import type { CustomerLimit } from "../../customers/index.ts";
import {
  DEMAND_LIFETIME_MS,
  type DemandReport,
  NO_DEMAND,
  type PlacedGroup,
  RegionDemand,
  type WaitingGroup,
} from "../../demand/index.ts";
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  instant,
  type ServiceId,
} from "../../ids/index.ts";
import {
  FairShares,
  MAX_YIELD_MS,
  SHARE_WINDOW_MS,
  type WaitingRequest,
  workOf,
} from "../index.ts";

const SERVICE = "pool" as ServiceId;
const LOUD = "loud" as CustomerId;
const CALM = "calm" as CustomerId;
const OTHER = "other" as CustomerId;
const PEER = "b1" as Incarnation;
const CLOCK = {
  since: (then: Instant, now: Instant) => now - then,
} as ConstructorParameters<typeof RegionDemand>[0];
const NOW = instant(10_000);
const POSITION = { service: SERVICE, rank: 1, late: false };
const NO_ROOM = { requests: 0, tokens: 0 };

function waiting(
  customer: CustomerId | undefined,
  { requests = 1, rank = 1, late = false }: Partial<WaitingGroup> = {},
): WaitingGroup {
  const tokens = requests * 1_000;
  return { service: SERVICE, rank, late, customer, requests, tokens };
}

function placed(
  customer: CustomerId | undefined,
  requests: number,
): PlacedGroup {
  return { service: SERVICE, customer, requests, tokens: requests * 1_000 };
}

function request(
  customer: CustomerId | undefined,
  arrival: number,
  rank = 1,
): WaitingRequest {
  return {
    ...POSITION,
    rank,
    customer,
    virtualArrival: arrival,
    tokens: 1_000,
  };
}

function region(
  {
    own = {},
    peer = {},
    isOn = true,
    limits = {},
    receivedAt = NOW,
  }: {
    own?: Partial<DemandReport>;
    peer?: Partial<DemandReport>;
    isOn?: boolean;
    limits?: Record<string, number>;
    receivedAt?: Instant;
  },
): { shares: FairShares; demand: RegionDemand } {
  const demand = new RegionDemand(CLOCK);
  demand.setOwn({ ...NO_DEMAND, ...own });
  demand.receive(PEER, { ...NO_DEMAND, ...peer }, receivedAt);
  const shares = new FairShares({
    demand,
    isOn: () => isOn,
    limitOf: (id): CustomerLimit | undefined =>
      limits[id] === undefined ? undefined : {
        unit: "tokens",
        perSecond: limits[id],
        burst: 0,
        plainTokens: 0,
      },
    placedHere: () => own.placed ?? [],
  });
  return { shares, demand };
}

/** A region in which one customer had nearly all places within the last second, most of them by way of a peer. */
function contended(
  { calmWaits = 1, ...options }: Parameters<typeof region>[0] & {
    calmWaits?: number;
  } = {},
): FairShares {
  return region({
    own: { waiting: [waiting(LOUD)] },
    peer: {
      placed: [placed(LOUD, 60), placed(CALM, 4)],
      waiting: [
        waiting(LOUD, { requests: 30 }),
        waiting(CALM, { requests: calmWaits }),
      ],
    },
    ...options,
  }).shares;
}

describe("shares of customers", () => {
  it("are in use only while requests wait", () => {
    expect(contended().isContended(NOW)).toBe(true);
    const idle = region({ peer: { placed: [placed(LOUD, 60)] } }).shares;
    expect(idle.isContended(NOW)).toBe(false);
  });

  it("change nothing while the feature is off", () => {
    const shares = contended({ isOn: false });
    expect(shares.isContended(NOW)).toBe(false);
    expect(
      shares.mustYield({ ...POSITION, customer: LOUD }, () => NO_ROOM, NOW),
    ).toBe(false);
    expect(shares.partAheadOf(POSITION, CALM, NOW)).toBe(1);
  });

  describe("order requests", () => {
    it("so that a customer that had more than its share queues behind the others", () => {
      const times = contended().startTimes(
        [request(LOUD, 9_500), request(CALM, 9_900)],
        NOW,
      );
      expect(times[1]).toBeLessThan(times[0]!);
    });

    it("of customers within their shares by arrival", () => {
      const { shares } = region({
        own: { waiting: [waiting(CALM), waiting(OTHER)] },
        peer: {
          placed: [placed(LOUD, 40), placed(CALM, 5), placed(OTHER, 5)],
          waiting: [waiting(LOUD, { requests: 30 })],
        },
      });
      const times = shares.startTimes(
        [request(CALM, 9_900), request(OTHER, 9_950)],
        NOW,
      );
      expect(times[0]).toBeLessThan(times[1]!);
    });

    it("of one customer behind each other, at every entry by what waits in the region", () => {
      const requests = [request(LOUD, 9_900), request(LOUD, 9_900)];
      const ahead = (peerRequests: number): number => {
        const { shares } = region({
          own: { waiting: [waiting(LOUD, { requests: 2 })] },
          peer: {
            placed: [placed(CALM, 50)],
            waiting: [waiting(LOUD, { requests: peerRequests })],
          },
        });
        const times = shares.startTimes(requests, NOW);
        expect(times[0]).toBeLessThan(times[1]!);
        return times[1]! - 9_900;
      };
      expect(ahead(40)).toBeGreaterThan(5 * ahead(1));
    });

    it("by weight: the same work is more of a small limit", () => {
      const { shares } = region({
        own: { waiting: [waiting(LOUD), waiting(CALM)] },
        peer: {
          placed: [placed(LOUD, 30), placed(CALM, 30)],
          waiting: [
            waiting(LOUD, { requests: 30 }),
            waiting(CALM, { requests: 30 }),
          ],
        },
        limits: { [LOUD]: 10_000, [CALM]: 40_000 },
      });
      const times = shares.startTimes(
        [request(LOUD, 9_500), request(CALM, 9_900)],
        NOW,
      );
      expect(times[1]).toBeLessThan(times[0]!);
    });

    /** Guards against requests without a customer that never get a place, or all of them. */
    it("without a customer as those of one customer", () => {
      const shares = contended({
        own: { waiting: [waiting(undefined)] },
        limits: { [LOUD]: 10_000 },
      });
      const times = shares.startTimes(
        [request(LOUD, 9_500), request(undefined, 9_900)],
        NOW,
      );
      expect(times[1]).toBeLessThan(times[0]!);
      expect(times.every(Number.isFinite)).toBe(true);
    });
  });

  describe("leave an endpoint to others", () => {
    const yields = (
      shares: FairShares,
      customer: CustomerId | undefined,
      room = NO_ROOM,
    ): boolean => shares.mustYield({ ...POSITION, customer }, () => room, NOW);

    it("only where the customer had its share", () => {
      const shares = contended();
      expect(yields(shares, LOUD)).toBe(true);
      expect(yields(shares, CALM)).toBe(false);
      expect(yields(shares, OTHER)).toBe(false);
      expect(shares.yielded).toBe(1);
    });

    /** Guards against endpoints that idle although there is room for all that waits. */
    it("not where there is room for what waits of others", () => {
      const shares = contended({ calmWaits: 2 });
      expect(yields(shares, LOUD, { requests: 2, tokens: 50_000 })).toBe(true);
      expect(yields(shares, LOUD, { requests: 3, tokens: 50_000 })).toBe(false);
      expect(yields(shares, LOUD, { requests: 3, tokens: 2_000 })).toBe(true);
    });

    /** Guards against endpoints that idle since those that wait elsewhere can't use them. */
    it("for a bounded time while they have room without a break", () => {
      const shares = contended();
      const yieldsAt = (ms: number): boolean =>
        shares.mustYield(
          { ...POSITION, customer: LOUD },
          () => NO_ROOM,
          instant(NOW + ms),
        );
      const times = [0, 25, 50, 75, 100, 125, 150, 175, 200, 225];
      expect(times.every(yieldsAt)).toBe(true);
      expect(yieldsAt(MAX_YIELD_MS)).toBe(false);
      expect(yieldsAt(MAX_YIELD_MS + 25)).toBe(true);
    });

    it("for longer where they had no room meanwhile", () => {
      const shares = contended();
      for (let ms = 0; ms <= 2 * MAX_YIELD_MS; ms += 25) {
        const at = instant(NOW + ms);
        expect(
          shares.mustYield({ ...POSITION, customer: LOUD }, () => NO_ROOM, at),
        ).toBe(true);
        shares.noteBusy(SERVICE);
      }
    });

    /** Guards against a customer that waits although nobody else has requests. */
    it("not where only the customer itself has requests", () => {
      const { shares } = region({
        own: { waiting: [waiting(LOUD)] },
        peer: {
          placed: [placed(LOUD, 60)],
          waiting: [waiting(LOUD, { requests: 30 })],
        },
      });
      expect(yields(shares, LOUD)).toBe(false);
    });

    it("not for requests of another rank, or that are late", () => {
      const { shares } = region({
        own: { waiting: [waiting(LOUD)] },
        peer: {
          placed: [placed(LOUD, 60)],
          waiting: [
            waiting(LOUD, { requests: 30 }),
            waiting(CALM, { rank: 2 }),
            waiting(CALM, { late: true }),
          ],
        },
      });
      expect(yields(shares, LOUD)).toBe(false);
    });

    /** Guards against yielding to requests of this entry that were tried before and found no room that fits them. */
    it("not where the others wait at this entry", () => {
      const shares = contended({
        own: { waiting: [waiting(CALM, { requests: 3 })] },
        calmWaits: 0,
      });
      expect(yields(shares, LOUD)).toBe(false);
    });
  });

  describe("tell what is served before a new request", () => {
    it("all of what waits without contention, as the region's demand says", () => {
      const { shares, demand } = region({
        peer: { waiting: [waiting(LOUD, { requests: 3 })] },
      });
      expect(shares.isContended(NOW)).toBe(false);
      expect(shares.waitingAheadOf(POSITION, CALM, NOW)).toEqual(
        demand.waitingAhead(POSITION),
      );
    });

    /** Guards against requests that are refused for the queue of a customer behind which they don't wait. */
    it("little of the queue of a customer that is over its share", () => {
      const shares = contended();
      const ahead = shares.waitingAheadOf(POSITION, OTHER, NOW);
      expect(ahead.requests).toBeLessThan(5);
      expect(shares.partAheadOf(POSITION, OTHER, NOW)).toBeLessThan(0.2);
    });

    it("the whole queue of the customer itself", () => {
      const ahead = contended().waitingAheadOf(POSITION, LOUD, NOW);
      expect(ahead.requests).toBeGreaterThanOrEqual(31);
    });

    it("all that is more urgent, and nothing that is less", () => {
      const { shares } = region({
        own: { waiting: [waiting(LOUD, { requests: 30 })] },
        peer: {
          placed: [placed(LOUD, 60)],
          waiting: [
            waiting(LOUD, { rank: 0, requests: 4 }),
            waiting(CALM, { rank: 2, requests: 7 }),
            waiting(CALM, { late: true, requests: 7 }),
          ],
        },
      });
      const ahead = (rank: number): number =>
        shares.waitingAheadOf({ ...POSITION, rank }, OTHER, NOW).requests;
      expect(ahead(1)).toBeGreaterThanOrEqual(4);
      expect(ahead(1)).toBeLessThan(34);
      expect(ahead(0)).toBeLessThanOrEqual(4);
    });
  });

  it("delay a customer's new request by what waits of it in the region", () => {
    const shares = contended();
    expect(shares.delayOf(POSITION, OTHER, NOW)).toBe(0);
    const delay = shares.delayOf(POSITION, LOUD, NOW);
    expect(delay).toBeGreaterThan(400);
    expect(delay).toBeLessThan(1_500);
  });

  /** Guards against false decisions right after a restart of all entries, when nobody knows what was placed. */
  it("are worked out with an assumed capacity while nothing was placed", () => {
    const { shares } = region({
      own: { waiting: [waiting(LOUD, { requests: 50 }), waiting(CALM)] },
    });
    const requests = [request(LOUD, 9_000), request(LOUD, 9_000)].concat(
      request(CALM, 9_950),
    );
    const times = shares.startTimes(requests, NOW);
    expect(times.every(Number.isFinite)).toBe(true);
    expect(
      shares.mustYield({ ...POSITION, customer: LOUD }, () => NO_ROOM, NOW),
    ).toBe(false);
  });

  /** Guards against decisions on what an entry that was cut off said long ago. */
  it("count less of a peer's report the older it is, and nothing once it is dropped", () => {
    const delay = (age: number): number => {
      const { shares, demand } = region({
        own: {
          waiting: [waiting(LOUD), waiting(CALM, { requests: 20 })],
          placed: [placed(CALM, 20)],
        },
        peer: { placed: [placed(LOUD, 40)] },
        receivedAt: instant(NOW - age),
      });
      demand.expire(NOW);
      return shares.startTimes([request(LOUD, 9_000)], NOW)[0]! - 9_000;
    };
    expect(delay(400)).toBeLessThan(delay(0));
    expect(delay(700)).toBeLessThan(delay(400));
    expect(delay(DEMAND_LIFETIME_MS + 1)).toBe(0);
  });

  /** Guards against a customer of a newer document, which a peer knows and this entry doesn't. */
  it("count a customer that only a peer knows", () => {
    const shares = contended({ limits: { [CALM]: 50_000 } });
    const times = shares.startTimes([request(LOUD, 9_500)], NOW);
    expect(times[0]).toBeGreaterThan(NOW - SHARE_WINDOW_MS / 2);
    expect(Number.isFinite(times[0])).toBe(true);
  });

  /** Guards against a customer's first requests in a peak waiting as if it had next to no weight. */
  it("give a customer that no report has the mean weight", () => {
    const shares = contended({
      limits: { [LOUD]: 30_000, [CALM]: 30_000, [OTHER]: 30_000 },
    });
    const times = shares.startTimes(
      [request(OTHER, 9_900), request(OTHER, 9_900)],
      NOW,
    );
    expect(times[1]! - times[0]!).toBeGreaterThan(0);
    expect(times[1]! - times[0]!).toBeLessThan(1_000);
  });

  /** Guards against an entry that sends a customer's whole queue before it hears of the next report. */
  it("count what this entry has just placed", () => {
    const shares = contended();
    const before = shares.startTimes([request(CALM, 9_900)], NOW)[0]!;
    for (let count = 0; count < 120; count++) {
      shares.recordPlaced(SERVICE, { customer: CALM, tokens: 1_000 });
    }
    const after = shares.startTimes([request(CALM, 9_900)], NOW)[0]!;
    expect(after).toBeGreaterThan(before + 500);
  });

  it("tell how many customers are over theirs", () => {
    expect(contended().overShare(NOW)).toBe(1);
    expect(contended({ isOn: false }).overShare(NOW)).toBe(0);
  });

  it("count a request's prefill and a fixed cost", () => {
    expect(workOf({ requests: 2, tokens: 500 })).toBe(2_500);
  });
});
