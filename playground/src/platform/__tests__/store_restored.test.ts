import { setTimeout as wait } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  PlatformFleet,
  route,
  ROUTES,
  StandInEndpoint,
  SteadyLoad,
  type StoreFault,
  THREE_OF_EACH,
} from "../index.ts";

const ENTRIES = 3;
const EVERY_MS = 25;
/** Until every entry has read what was written. */
const SETTLE_MS = 1_500;
/** Within this an acknowledged change is in force. */
const BOUND_MS = 4_000;
const MEASURED_MS = 1_500;
/** An answer takes so long that one endpoint cannot serve all. */
const ANSWER_MS = 150;
const ADDED = "/again-added/x";

interface Absence {
  /** Where the store's counter stands at the next read, seen from the revision that entries hold. */
  readonly counter: string;
  readonly fault: StoreFault;
  readonly awayMs: number;
  /** Changes that the copy lacks. */
  readonly lost: number;
  /** Between the return and the next change. */
  readonly calmMs: number;
}

const ABSENCES: readonly Absence[] = [
  { counter: "behind", fault: "reset", awayMs: 1_500, lost: 9, calmMs: 700 },
  { counter: "level", fault: "reset", awayMs: 1_500, lost: 4, calmMs: 2_000 },
  { counter: "past", fault: "reset", awayMs: 1_500, lost: 2, calmMs: 2_000 },
  { counter: "past", fault: "silent", awayMs: 300, lost: 3, calmMs: 0 },
];

// Guards against acknowledged changes that are never in force, as the store counts from a lower revision again.
describe("a store that is restored from a copy", () => {
  describe.each(ABSENCES)(
    "away $awayMs ms ($fault), with its counter $counter at the next read",
    ({ fault, awayMs, lost, calmMs }) => {
      const fleet = new PlatformFleet({ endpoints: THREE_OF_EACH });
      const joined = new StandInEndpoint("i-p4");
      const [leaving, removed] = ["i-p1", "i-p2"] as const;
      beforeAll(async () => {
        await fleet.prepare();
        await fleet.start(ENTRIES);
        await fleet.adopt(joined);
        fleet.endpoints.forEach((endpoint) => endpoint.delay = ANSWER_MS);
      });
      afterAll(() => fleet.close());

      it("has its later changes in force within the bound", async () => {
        const copy = fleet.store.copy();
        for (let beats = 0; beats < lost; beats++) {
          fleet.beat("i-p3");
        }
        await wait(SETTLE_MS);
        fleet.store.fault = fault;
        await wait(awayMs);
        fleet.store.restore(copy);
        fleet.store.fault = "none";
        await wait(calmMs);

        fleet.beat(leaving, { state: "draining" });
        fleet.store.remove(fleet.keyOf(removed));
        fleet.beat(joined.id);
        fleet.publishDocument([
          ...ROUTES,
          route("again-added", { kind: "idempotent", service: "plain" }),
        ]);
        await wait(SETTLE_MS);
        for (let beats = 0; beats < lost; beats++) {
          fleet.beat("i-p3");
        }
        await wait(BOUND_MS - SETTLE_MS);

        const from = performance.now();
        const load = new SteadyLoad(fleet.entries, {
          every: EVERY_MS,
          paths: ["/again/x", ADDED],
          name: "late",
        });
        await load.during(MEASURED_MS);
        const results = await load.end();
        const arrivals = (id: string): number =>
          fleet.endpoint(id).arrivals.filter((at) => at >= from).length;
        expect(results.filter(({ status }) => status !== 200)).toEqual([]);
        expect(arrivals(leaving)).toBe(0);
        expect(arrivals(removed)).toBe(0);
        expect(arrivals(joined.id)).toBeGreaterThan(0);
      });
    },
  );
});
