import { setTimeout as wait } from "node:timers/promises";
import { createGatewayClient } from "@sassafrasstep/daemon";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { PlatformFleet, ROUTES, statusesOf } from "../index.ts";

const LIFETIME_MS = 4_000;
const EVERY_MS = 25;
const REQUESTS = 120;
const KEPT = "k-kept-77e0";
const TAKEN = "k-taken-1b5d";
/** Four of a zone carry; the others stand by. */
const ENTRIES = 6;
const [PAUSED, TURNED_AWAY, ANEW] = [0, 1, 2] as const;

// Guards against entries that hold different epochs: paused, turned away, started anew or at rest over the restore.
describe("entries over a restore of the store", () => {
  const fleet = new PlatformFleet({
    bounds: `key_lifetime_ms = ${LIFETIME_MS}\nstrict_keys = true\n`,
  });
  const publish = (keys: readonly string[]): void =>
    fleet.publishDocument(ROUTES, [
      { name: "clinic", keys, priority: 1, home_regions: [] },
    ]);
  const positions = (): Promise<string[]> =>
    Promise.all(fleet.entries.map(async ({ control }) => {
      const client = createGatewayClient(`http://${control}`);
      const { catalogueEpoch, documentVersion } = await client.status.query();
      return `epoch ${catalogueEpoch}, version ${documentVersion}`;
    }));

  beforeAll(async () => {
    await fleet.prepare();
    publish([KEPT, TAKEN]);
    await fleet.start(ENTRIES, { gated: [TURNED_AWAY] });
  });
  afterAll(() => fleet.close());

  it("open nothing for a key that was taken away, and end with the same", async () => {
    const { store, entries, gates } = fleet;
    const gate = gates.get(TURNED_AWAY)!;
    const copy = store.copy();
    fleet.beat("i-p1");
    fleet.beat("i-p1");
    publish([KEPT]);
    await wait(1_500);
    gate.fault = "busy";
    entries[PAUSED]!.process.kill("SIGSTOP");
    store.fault = "reset";
    await wait(600);
    store.restore(copy);
    store.fault = "none";
    await fleet.startAnew(entries[ANEW]!);
    await wait(2_200);
    entries[PAUSED]!.process.kill("SIGCONT");
    const load = { entries, requests: REQUESTS, every: EVERY_MS };
    const taken = await statusesOf(TAKEN, load);
    expect(taken.filter((status) => status === 200)).toEqual([]);
    publish([KEPT]);
    fleet.beat("i-p1");
    gate.fault = "none";
    await wait(LIFETIME_MS);
    const kept = await statusesOf(KEPT, load);
    expect(kept.filter((status) => status !== 200)).toEqual([]);
    expect(new Set(await positions()).size).toBe(1);
  });
});
