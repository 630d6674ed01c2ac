import { setTimeout as wait } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  PlatformFleet,
  route,
  ROUTES,
  StandInEndpoint,
  SteadyLoad,
  type StoreFault,
  THREE_ENDPOINTS_PER_SERVICE,
} from "../index.ts";

const ENTRIES = 3;
const REQUEST_INTERVAL_MS = 25;
/** By then every entry has read the latest changes. */
const SETTLE_MS = 1_500;
/** An acknowledged change must take effect within this time. */
const PROPAGATION_LIMIT_MS = 4_000;
const MEASURED_MS = 1_500;
/** Long enough that no single endpoint can serve all requests. */
const ANSWER_DELAY_MS = 150;
const ADDED_PATH = "/again-added/x";

interface Outage {
  /** The store's revision at the next read, relative to the revision that the entries hold. */
  readonly counter: string;
  readonly fault: StoreFault;
  readonly outageMs: number;
  /** Changes that the restored copy lacks. */
  readonly lostChanges: number;
  /** Time between the restore and the next change. */
  readonly quietMs: number;
}

const OUTAGES: readonly Outage[] = [
  {
    counter: "behind",
    fault: "reset",
    outageMs: 1_500,
    lostChanges: 9,
    quietMs: 700,
  },
  {
    counter: "level",
    fault: "reset",
    outageMs: 1_500,
    lostChanges: 4,
    quietMs: 2_000,
  },
  {
    counter: "past",
    fault: "reset",
    outageMs: 1_500,
    lostChanges: 2,
    quietMs: 2_000,
  },
  {
    counter: "past",
    fault: "silent",
    outageMs: 300,
    lostChanges: 3,
    quietMs: 0,
  },
];

// Guards against acknowledged changes that never take effect because the restored store counts from a lower
// revision again.
describe("a store that is restored from a copy", () => {
  describe.each(OUTAGES)(
    "unavailable for $outageMs ms ($fault), with its revision $counter at the next read",
    ({ fault, outageMs, lostChanges, quietMs }) => {
      const fleet = new PlatformFleet({
        endpoints: THREE_ENDPOINTS_PER_SERVICE,
      });
      const joined = new StandInEndpoint("i-p4");
      const [leaving, removed] = ["i-p1", "i-p2"] as const;
      beforeAll(async () => {
        await fleet.prepare();
        await fleet.start(ENTRIES);
        await fleet.addEndpoint(joined);
        fleet.endpoints.forEach((endpoint) =>
          endpoint.delayMs = ANSWER_DELAY_MS
        );
      });
      afterAll(() => fleet.close());

      it("has its later changes take effect in time", async () => {
        const copy = fleet.store.copy();
        for (let written = 0; written < lostChanges; written++) {
          fleet.refreshRecord("i-p3");
        }
        await wait(SETTLE_MS);
        fleet.store.fault = fault;
        await wait(outageMs);
        fleet.store.restore(copy);
        fleet.store.fault = "none";
        await wait(quietMs);

        fleet.refreshRecord(leaving, { state: "draining" });
        fleet.store.remove(fleet.endpointKey(removed));
        fleet.refreshRecord(joined.id);
        fleet.publishDocument([
          ...ROUTES,
          route("again-added", { kind: "idempotent", service: "plain" }),
        ]);
        await wait(SETTLE_MS);
        for (let written = 0; written < lostChanges; written++) {
          fleet.refreshRecord("i-p3");
        }
        await wait(PROPAGATION_LIMIT_MS - SETTLE_MS);

        const from = performance.now();
        const load = new SteadyLoad(fleet.entries, {
          intervalMs: REQUEST_INTERVAL_MS,
          paths: ["/again/x", ADDED_PATH],
          callPrefix: "late",
        });
        await load.runFor(MEASURED_MS);
        const results = await load.stop();
        const arrivals = (id: string): number =>
          fleet.endpoint(id).arrivalTimes.filter((at) => at >= from).length;
        expect(results.filter(({ status }) => status !== 200)).toEqual([]);
        expect(arrivals(leaving)).toBe(0);
        expect(arrivals(removed)).toBe(0);
        expect(arrivals(joined.id)).toBeGreaterThan(0);
      });
    },
  );
});
