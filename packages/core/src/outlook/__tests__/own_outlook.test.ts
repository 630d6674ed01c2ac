import { beforeEach, describe, expect, it } from "vitest";
import {
  instant,
  isBusyOutlook,
  OwnOutlook,
  type ServiceFigures,
} from "../../index.ts";
import {
  engine,
  figures,
  NORTH,
  POOL,
  serviceOutlook,
} from "./outlook_fixture.ts";

const REST = figures([engine()]);
const LOADED = figures([engine({ pendingTokens: 20_000 })]);

describe("the outlook of the own region", () => {
  let current: ServiceFigures;
  let changes: boolean[];
  let own: OwnOutlook;

  beforeEach(() => {
    current = REST;
    changes = [];
    own = new OwnOutlook({
      region: NORTH,
      services: () => [POOL],
      figuresOf: () => current,
      onChange: (_, { isBusy }) => changes.push(isBusy),
    });
  });

  it("is busy with a backlog and at rest some time after it", () => {
    current = LOADED;
    expect(own.of(POOL, instant(0)).isBusy).toBe(true);
    current = REST;
    expect(own.of(POOL, instant(100)).isBusy).toBe(true);
    expect(own.of(POOL, instant(500)).isBusy).toBe(true);
    expect(own.of(POOL, instant(650)).isBusy).toBe(false);
    expect(changes).toEqual([true, false]);
  });

  /** Guards against a region that sends and takes the same service by turns, because its backlog swings. */
  it("stays busy while its backlog swings", () => {
    for (let time = 0; time < 3_000; time += 300) {
      current = time % 600 === 0 ? LOADED : REST;
      expect(own.of(POOL, instant(time)).isBusy).toBe(true);
    }
    expect(changes).toEqual([true]);
  });

  it("is not busy with one long prompt at one of its engines", () => {
    current = figures([
      engine({ pendingTokens: 12_000 }),
      engine(),
      engine(),
    ]);
    expect(own.of(POOL, instant(0)).isBusy).toBe(false);
  });

  it("tells what it has to spare, divided among those that take it, and nothing while it is busy", () => {
    const spare = (takers: number, at: number) =>
      own.describe(takers, instant(at)).services[0]!.spareTokensPerSecond;
    expect(spare(1, 0)).toBe(35_000);
    expect(spare(2, 0)).toBe(17_500);
    expect(spare(0, 0)).toBe(35_000);
    current = LOADED;
    expect(spare(1, 100)).toBe(0);
  });

  /** Guards against a region without engines being taken for one that starts requests at once. */
  it("tells nothing of a service without engines, which isn't busy either", () => {
    current = figures([]);
    expect(own.describe(1, instant(0)).services).toEqual([]);
    expect(own.isBusy(instant(0))).toBe(false);
  });
});

describe("an outlook that was told", () => {
  it("is busy if requests start late and nothing is to spare", () => {
    expect(isBusyOutlook(serviceOutlook({ spare: 0, delay: 500 }))).toBe(true);
    expect(isBusyOutlook(serviceOutlook({ spare: 0, delay: 40 }))).toBe(false);
    expect(isBusyOutlook(serviceOutlook({ spare: 9, delay: 500 }))).toBe(false);
  });
});
