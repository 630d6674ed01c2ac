import { setTimeout as wait } from "node:timers/promises";
import { createGatewayClient, type GatewayStatus } from "@sassafrasstep/daemon";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { PlatformFleet, route, ROUTES, type StoreCopy } from "../index.ts";

const ENTRIES = 3;
const SETTLE_MS = 1_500;
/** An acknowledged change must take effect within this time. */
const PROPAGATION_LIMIT_MS = 4_000;
const CHANGE_INTERVAL_MS = 50;

// Guards against changes that are missed when a restore coincides with another restore, with frequent changes or
// with a missing epoch.
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
  const refreshRecord = (times = 1): void => {
    for (let written = 0; written < times; written++) {
      fleet.refreshRecord("i-p1");
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
  /** Writes changes after a copy, which a restore of that copy loses; as many new changes reach the same revision. */
  const writeChangesToLose = async (times: number): Promise<StoreCopy> => {
    const copy = store.copy();
    refreshRecord(times);
    await wait(SETTLE_MS);
    return copy;
  };

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(ENTRIES);
  });
  afterAll(() => fleet.close());
  beforeEach(() => {
    store.formatEpoch = String;
  });

  it("twice in a row, is not read repeatedly", async () => {
    const copy = await writeChangesToLose(1);
    const before = store.fullReads;
    store.restore(copy);
    store.restore(copy);
    publish();
    await wait(PROPAGATION_LIMIT_MS);
    expect(await versions()).toEqual(Array(ENTRIES).fill(version));
    expect(store.fullReads - before).toBeLessThanOrEqual(2 * ENTRIES);
  });

  it("during frequent changes, is followed throughout", async () => {
    const copy = await writeChangesToLose(4);
    const changeTimer = setInterval(publish, CHANGE_INTERVAL_MS);
    await wait(500);
    store.restore(copy);
    await wait(SETTLE_MS);
    clearInterval(changeTimer);
    await wait(PROPAGATION_LIMIT_MS);
    expect(await versions()).toEqual(Array(ENTRIES).fill(version));
  });

  it("and does not change for long, is read on from its current revision", async () => {
    const copy = await writeChangesToLose(2);
    const before = store.calls;
    store.restore(copy);
    await wait(2 * PROPAGATION_LIMIT_MS);
    const calls = store.calls - before;
    publish();
    refreshRecord();
    await wait(PROPAGATION_LIMIT_MS);
    expect(await versions()).toEqual(Array(ENTRIES).fill(version));
    // A loop of rejected watches and full reads would make one of each every 1.2 s.
    expect(calls).toBeLessThan(ENTRIES * 8);
  });

  it.each([
    ["no epoch", () => undefined],
    ["no number", () => "anew"],
    ["a lower epoch", (epoch: number) => String(100 - epoch)],
  ])(
    "and states %s, is followed by its revision alone",
    async (_name, stated) => {
      const copy = await writeChangesToLose(3);
      store.formatEpoch = stated;
      store.restore(copy);
      publish();
      await wait(PROPAGATION_LIMIT_MS);
      publish();
      await wait(PROPAGATION_LIMIT_MS);
      expect(await versions()).toEqual(Array(ENTRIES).fill(version));
    },
  );
});
