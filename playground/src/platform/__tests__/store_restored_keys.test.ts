import { setTimeout as wait } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { PlatformFleet, ROUTES, statusesOf } from "../index.ts";

const LIFETIME_MS = 4_000;
const ENTRIES = 3;
const SETTLE_MS = 1_500;
const EVERY_MS = 25;
const REQUESTS = 80;
const KEPT = "k-kept-3f1c";
const TAKEN = "k-taken-90d2";

// Guards against a key that goes on opening routes, as nothing newer is concluded from equal revisions of two epochs.
describe("a key that is taken away after the store was restored", () => {
  describe.each([
    { counter: "behind", lost: 3 },
    { counter: "level", lost: 1 },
  ])("with its counter $counter at the next read", ({ lost }) => {
    const fleet = new PlatformFleet({
      bounds: `key_lifetime_ms = ${LIFETIME_MS}\nstrict_keys = true\n`,
    });
    const publish = (keys: readonly string[]): void =>
      fleet.publishDocument(ROUTES, [
        { name: "clinic", keys, priority: 1, home_regions: [] },
      ]);
    beforeAll(async () => {
      await fleet.prepare();
      publish([KEPT, TAKEN]);
      await fleet.start(ENTRIES);
    });
    afterAll(() => fleet.close());

    it("opens nothing after its lifetime, and other keys do", async () => {
      const copy = fleet.store.copy();
      for (let beats = 0; beats < lost; beats++) {
        fleet.beat("i-p1");
      }
      await wait(SETTLE_MS);
      fleet.store.fault = "silent";
      await wait(300);
      fleet.store.restore(copy);
      fleet.store.fault = "none";
      publish([KEPT]);
      await wait(LIFETIME_MS);
      const { entries } = fleet;
      const load = { entries, requests: REQUESTS, every: EVERY_MS };
      const [taken, kept] = await Promise.all([
        statusesOf(TAKEN, load),
        statusesOf(KEPT, load),
      ]);
      expect(taken.filter((status) => status === 200)).toEqual([]);
      expect(kept.filter((status) => status !== 200)).toEqual([]);
    });
  });
});
