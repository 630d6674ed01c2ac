import { setTimeout as wait } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, PlatformFleet, ROUTES } from "../index.ts";

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
    const beat = (sequence: number): void =>
      fleet.publishEndpoint("i-p1", {
        service: "plain",
        address: fleet.addressOf("i-p1"),
        state: "ready",
        sequence,
      });
    /** Statuses of requests with a key, sent at a steady rate. */
    const statuses = (key: string): Promise<number[]> =>
      Promise.all(
        Array.from({ length: REQUESTS }, async (_, index) => {
          await wait(index * EVERY_MS);
          const { callers } = fleet.entries[index % ENTRIES]!;
          const { status } = await callPlatform(callers, {
            path: "/again/x",
            call: `${key}-${index}`,
            headers: { [HEADERS.key]: key },
          });
          return status;
        }),
      );

    beforeAll(async () => {
      await fleet.prepare();
      publish([KEPT, TAKEN]);
      await fleet.start(ENTRIES);
    });
    afterAll(() => fleet.close());

    it("opens nothing after its lifetime, and other keys do", async () => {
      const copy = fleet.store.copy();
      for (let sequence = 2; sequence < 2 + lost; sequence++) {
        beat(sequence);
      }
      await wait(SETTLE_MS);
      fleet.store.fault = "silent";
      await wait(300);
      fleet.store.restore(copy);
      fleet.store.fault = "none";
      publish([KEPT]);
      await wait(LIFETIME_MS);
      const [taken, kept] = await Promise.all([
        statuses(TAKEN),
        statuses(KEPT),
      ]);
      expect(taken.filter((status) => status === 200)).toEqual([]);
      expect(kept.filter((status) => status !== 200)).toEqual([]);
    });
  });
});
