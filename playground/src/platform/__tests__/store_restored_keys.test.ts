import { setTimeout as wait } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { PlatformFleet, ROUTES, sendKeyedRequests } from "../index.ts";

const KEY_LIFETIME_MS = 4_000;
const ENTRIES = 3;
const SETTLE_MS = 1_500;
const REQUEST_INTERVAL_MS = 25;
const REQUESTS = 80;
const KEPT_KEY = "k-kept-3f1c";
const REMOVED_KEY = "k-taken-90d2";

// Guards against a removed key that stays valid because entries take equal revisions of two epochs for the same state.
describe("a key that is taken away after the store was restored", () => {
  describe.each([
    { counter: "behind", lostChanges: 3 },
    { counter: "level", lostChanges: 1 },
  ])("with its revision $counter at the next read", ({ lostChanges }) => {
    const fleet = new PlatformFleet({
      bounds: `key_lifetime_ms = ${KEY_LIFETIME_MS}\nstrict_keys = true\n`,
    });
    const publish = (keys: readonly string[]): void =>
      fleet.publishDocument(ROUTES, [
        { name: "clinic", keys, priority: 1, home_regions: [] },
      ]);
    beforeAll(async () => {
      await fleet.prepare();
      publish([KEPT_KEY, REMOVED_KEY]);
      await fleet.start(ENTRIES);
    });
    afterAll(() => fleet.close());

    it("is rejected after its lifetime, and other keys are accepted", async () => {
      const copy = fleet.store.copy();
      for (let written = 0; written < lostChanges; written++) {
        fleet.refreshRecord("i-p1");
      }
      await wait(SETTLE_MS);
      fleet.store.fault = "silent";
      await wait(300);
      fleet.store.restore(copy);
      fleet.store.fault = "none";
      publish([KEPT_KEY]);
      await wait(KEY_LIFETIME_MS);
      const { entries } = fleet;
      const load = {
        entries,
        requests: REQUESTS,
        intervalMs: REQUEST_INTERVAL_MS,
      };
      const [removedKeyStatuses, keptKeyStatuses] = await Promise.all([
        sendKeyedRequests(REMOVED_KEY, load),
        sendKeyedRequests(KEPT_KEY, load),
      ]);
      expect(removedKeyStatuses.filter((status) => status === 200)).toEqual([]);
      expect(keptKeyStatuses.filter((status) => status !== 200)).toEqual([]);
    });
  });
});
