import { setTimeout as wait } from "node:timers/promises";
import { createGatewayClient } from "@sassafrasstep/daemon";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { PlatformFleet, ROUTES, sendKeyedRequests } from "../index.ts";

const KEY_LIFETIME_MS = 4_000;
const REQUEST_INTERVAL_MS = 25;
const REQUESTS = 120;
const KEPT_KEY = "k-kept-77e0";
const REMOVED_KEY = "k-taken-1b5d";
/** Four entries of a zone are serving entries, the others are standbys. */
const ENTRIES = 6;
const [PAUSED, STORE_BUSY, RESTARTED] = [0, 1, 2] as const;

// Guards against entries that hold different epochs after a restore during which one was paused, one was refused by
// the store, one was restarted and some were standbys.
describe("entries over a restore of the store", () => {
  const fleet = new PlatformFleet({
    bounds: `key_lifetime_ms = ${KEY_LIFETIME_MS}\nstrict_keys = true\n`,
  });
  const publish = (keys: readonly string[]): void =>
    fleet.publishDocument(ROUTES, [
      { name: "clinic", keys, priority: 1, home_regions: [] },
    ]);
  const catalogueVersions = (): Promise<string[]> =>
    Promise.all(fleet.entries.map(async ({ control }) => {
      const client = createGatewayClient(`http://${control}`);
      const { catalogueEpoch, documentVersion } = await client.status.query();
      return `epoch ${catalogueEpoch}, version ${documentVersion}`;
    }));

  beforeAll(async () => {
    await fleet.prepare();
    publish([KEPT_KEY, REMOVED_KEY]);
    await fleet.start(ENTRIES, { ownStoreListener: [STORE_BUSY] });
  });
  afterAll(() => fleet.close());

  it("accept no removed key, and end with the same catalogue", async () => {
    const { store, entries, storeListeners } = fleet;
    const storeListener = storeListeners.get(STORE_BUSY)!;
    const copy = store.copy();
    fleet.refreshRecord("i-p1");
    fleet.refreshRecord("i-p1");
    publish([KEPT_KEY]);
    await wait(1_500);
    storeListener.fault = "busy";
    entries[PAUSED]!.process.kill("SIGSTOP");
    store.fault = "reset";
    await wait(600);
    store.restore(copy);
    store.fault = "none";
    await fleet.restartEntry(entries[RESTARTED]!);
    await wait(2_200);
    entries[PAUSED]!.process.kill("SIGCONT");
    const load = {
      entries,
      requests: REQUESTS,
      intervalMs: REQUEST_INTERVAL_MS,
    };
    const removedKeyStatuses = await sendKeyedRequests(REMOVED_KEY, load);
    expect(removedKeyStatuses.filter((status) => status === 200)).toEqual([]);
    publish([KEPT_KEY]);
    fleet.refreshRecord("i-p1");
    storeListener.fault = "none";
    await wait(KEY_LIFETIME_MS);
    const keptKeyStatuses = await sendKeyedRequests(KEPT_KEY, load);
    expect(keptKeyStatuses.filter((status) => status !== 200)).toEqual([]);
    expect(new Set(await catalogueVersions()).size).toBe(1);
  });
});
