import { beforeEach, describe, expect, it } from "vitest";
import {
  instant,
  OutlookExchange,
  OwnOutlook,
  type RegionId,
  type RegionOutlook,
  RegionOutlooks,
  type ServiceFigures,
} from "../../index.ts";
import {
  engine,
  figures,
  NORTH,
  POOL,
  regionOutlook,
  SOUTH,
  WEST,
} from "./outlook_fixture.ts";

const REST = figures([engine()]);
const LOADED = figures([engine({ pendingTokens: 20_000 })]);
const BUSY = { spare: 0, delay: 500 };

describe("the exchange of outlooks", () => {
  let current: ServiceFigures;
  let isWanted: boolean;
  let partners: RegionId[];
  let outlooks: RegionOutlooks;
  let told: { region: RegionId; outlook: RegionOutlook; at: number }[];
  let passedOn: RegionOutlook[];
  let exchange: OutlookExchange;

  beforeEach(() => {
    current = REST;
    isWanted = true;
    partners = [SOUTH, WEST];
    outlooks = new RegionOutlooks(NORTH);
    told = [];
    passedOn = [];
    exchange = new OutlookExchange({
      outlooks,
      isWanted: () => isWanted,
      otherRegions: [SOUTH, WEST],
      isPartnerOf: (region) => partners.includes(region),
      announce: (region, outlook, at) => told.push({ region, outlook, at }),
      passOn: (outlook) => passedOn.push(outlook),
      own: new OwnOutlook({
        region: NORTH,
        services: () => [POOL],
        figuresOf: () => current,
        onChange: () => {},
      }),
    });
  });

  function run(from: number, to: number): void {
    for (let time = from; time < to; time += 20) {
      exchange.tick(instant(time));
    }
  }

  it("is silent while all regions are at rest", () => {
    run(0, 5_000);
    expect(told).toEqual([]);
  });

  it("is silent while the feature is off", () => {
    isWanted = false;
    current = LOADED;
    exchange.receive(regionOutlook(SOUTH, BUSY), instant(0));
    run(0, 2_000);
    expect(told).toEqual([]);
    expect(passedOn).toEqual([]);
  });

  it("tells all regions each period while this one is busy", () => {
    current = LOADED;
    run(0, 1_000);
    expect(told).toHaveLength(8);
    expect(
      told.every(({ outlook }) =>
        outlook.services[0]!.spareTokensPerSecond === 0
      ),
    ).toBe(true);
  });

  it("tells a busy region what this one has to spare, and no other", () => {
    exchange.receive(regionOutlook(SOUTH, BUSY), instant(0));
    run(0, 1_000);
    expect(told.map(({ region }) => region)).toEqual([
      SOUTH,
      SOUTH,
      SOUTH,
      SOUTH,
    ]);
    expect(told[0]!.outlook.services[0]!.spareTokensPerSecond).toBe(35_000);
  });

  it("divides what is to spare among the busy regions", () => {
    exchange.receive(regionOutlook(SOUTH, BUSY), instant(0));
    exchange.receive(regionOutlook(WEST, BUSY), instant(0));
    run(0, 20);
    expect(told).toHaveLength(2);
    expect(told[0]!.outlook.services[0]!.spareTokensPerSecond).toBe(17_500);
  });

  /** Guards against answers to a region that has ended or is cut off one way, on and on. */
  it("falls silent when a busy region has", () => {
    exchange.receive(regionOutlook(SOUTH, BUSY), instant(0));
    run(0, 5_000);
    expect(Math.max(...told.map(({ at }) => at))).toBeLessThanOrEqual(1_500);
  });

  /** Guards against a burst of outlooks after a pause of this process. */
  it("tells once after a pause", () => {
    current = LOADED;
    run(0, 20);
    run(10_000, 10_020);
    expect(told).toHaveLength(4);
  });

  it("is left to other entries where this one is not a partner", () => {
    partners = [];
    current = LOADED;
    exchange.receive(regionOutlook(SOUTH), instant(0));
    run(0, 1_000);
    expect(told).toEqual([]);
    expect(passedOn).toEqual([]);
    expect(outlooks.of(SOUTH, POOL, instant(0))).toBeDefined();
  });

  describe("within a busy region", () => {
    beforeEach(() => {
      current = LOADED;
    });

    it("passes on what other regions tell", () => {
      exchange.receive(regionOutlook(SOUTH, { age: 80 }), instant(100));
      expect(passedOn).toHaveLength(1);
    });

    /** Guards against two receivers that pass on each other's messages without end. */
    it("passes on no outlook that it knows already, and none just a little newer", () => {
      exchange.receive(regionOutlook(SOUTH, { age: 80 }), instant(100));
      exchange.receive(regionOutlook(SOUTH, { age: 80 }), instant(100));
      exchange.receive(regionOutlook(SOUTH, { age: 40 }), instant(100));
      expect(passedOn).toHaveLength(1);
      exchange.receive(regionOutlook(SOUTH, { age: 80 }), instant(350));
      expect(passedOn).toHaveLength(2);
    });

    it("passes on only the regions with the most to spare, and busy ones", () => {
      for (let index = 0; index < 6; index++) {
        const region = `other ${index}` as RegionId;
        partners.push(region);
        exchange.receive(
          regionOutlook(region, { spare: 900_000 - index }),
          instant(0),
        );
      }
      expect(passedOn).toHaveLength(4);
      exchange.receive(regionOutlook(SOUTH, { spare: 5 }), instant(0));
      expect(passedOn).toHaveLength(4);
      exchange.receive(regionOutlook(WEST, BUSY), instant(0));
      expect(passedOn).toHaveLength(5);
    });
  });

  it("passes on rarely within a region at rest, which only divides its room", () => {
    for (let time = 0; time < 2_000; time += 250) {
      exchange.receive(regionOutlook(SOUTH, BUSY), instant(time));
    }
    expect(passedOn.length).toBeLessThanOrEqual(2);
  });
});
