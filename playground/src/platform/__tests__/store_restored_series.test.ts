import { setTimeout as wait } from "node:timers/promises";
import { createGatewayClient, type GatewayStatus } from "@sassafrasstep/daemon";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { PlatformFleet, route, ROUTES, type StoreCopy } from "../index.ts";

const ENTRIES = 3;
const SETTLE_MS = 1_500;
/** Within this an acknowledged change is in force. */
const BOUND_MS = 4_000;
const STORM_PAUSE_MS = 50;

// Guards against changes that are missed where a restore meets another one, a storm of changes, or a missing epoch.
describe("a store that is restored", () => {
  const fleet = new PlatformFleet();
  const { store } = fleet;
  let version = 3;

  const publish = (): void => {
    version += 2;
    fleet.publishDocument([
      ...ROUTES,
      route(`added-${version}`, { kind: "idempotent", service: "plain" }),
    ]);
  };
  const beat = (times = 1): void => {
    for (let beats = 0; beats < times; beats++) {
      fleet.beat("i-p1");
    }
  };
  const statuses = (): Promise<GatewayStatus[]> =>
    Promise.all(
      fleet.entries.map(({ control }) =>
        createGatewayClient(`http://${control}`).status.query()
      ),
    );
  const versions = async (): Promise<number[]> =>
    (await statuses()).map(({ documentVersion }) => documentVersion);
  /** Loses some records, and the counter is level again after as many changes. */
  const lose = async (times: number): Promise<StoreCopy> => {
    const copy = store.copy();
    beat(times);
    await wait(SETTLE_MS);
    return copy;
  };

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(ENTRIES);
  });
  afterAll(() => fleet.close());
  beforeEach(() => {
    store.statedEpoch = String;
  });

  it("twice in a row, is not read over and over", async () => {
    const copy = await lose(1);
    const before = store.wholeReads;
    store.restore(copy);
    store.restore(copy);
    publish();
    await wait(BOUND_MS);
    expect(await versions()).toEqual(Array(ENTRIES).fill(version));
    expect(store.wholeReads - before).toBeLessThanOrEqual(2 * ENTRIES);
  });

  it("in a storm of changes, is followed through it", async () => {
    const copy = await lose(4);
    const storm = setInterval(publish, STORM_PAUSE_MS);
    await wait(500);
    store.restore(copy);
    await wait(SETTLE_MS);
    clearInterval(storm);
    await wait(BOUND_MS);
    expect(await versions()).toEqual(Array(ENTRIES).fill(version));
  });

  it("and is calm for long, is read on from where it stands", async () => {
    const copy = await lose(2);
    const before = store.calls;
    store.restore(copy);
    await wait(2 * BOUND_MS);
    const calls = store.calls - before;
    publish();
    beat();
    await wait(BOUND_MS);
    expect(await versions()).toEqual(Array(ENTRIES).fill(version));
    // A loop of refused reads and whole ones would be one of each every 1.2 s.
    expect(calls).toBeLessThan(ENTRIES * 8);
  });

  it.each([
    ["no epoch", () => undefined],
    ["no number", () => "anew"],
    ["a lower epoch", (epoch: number) => String(100 - epoch)],
  ])(
    "and states %s, is read as far as its counter tells",
    async (_name, stated) => {
      const copy = await lose(3);
      store.statedEpoch = stated;
      store.restore(copy);
      publish();
      await wait(BOUND_MS);
      publish();
      await wait(BOUND_MS);
      expect(await versions()).toEqual(Array(ENTRIES).fill(version));
    },
  );
});
