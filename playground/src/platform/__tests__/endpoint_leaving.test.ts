import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import {
  PlatformFleet,
  StandInEndpoint,
  SteadyLoad,
  THREE_OF_EACH,
} from "../index.ts";

const ENTRIES = 4;
const EVERY_MS = 25;
/** A plain answer takes so long that no endpoint can serve all. */
const ANSWER_MS = 150;
/** Until every entry has had an answer that says so. */
const SETTLE_MS = 1_500;
const MEASURED_MS = 4_000;
const LEAVING = { [HEADERS.leaving]: "1" };

// Guards against requests to endpoints that said in their answers that they leave, while the store says ready.
describe("endpoints that say that they leave", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_OF_EACH });
  const of = fleet.endpointsOf.bind(fleet);
  const arrivalsSince = (
    endpoints: readonly StandInEndpoint[],
    from: number,
  ): number =>
    endpoints.flatMap(({ arrivals }) => arrivals).filter((at) => at >= from)
      .length;
  const begin = (name: string, path: string): SteadyLoad =>
    new SteadyLoad(fleet.entries, { every: EVERY_MS, paths: [path], name });

  beforeAll(async () => {
    await fleet.prepare();
    of("p").forEach((endpoint) => endpoint.delay = ANSWER_MS);
    await fleet.start(ENTRIES);
  });
  afterAll(() => fleet.close());
  beforeEach(() => fleet.endpoints.forEach((endpoint) => endpoint.stated = {}));

  describe.each([["plain", "/again/x", "p"], ["stream", "/stream/x", "e"]])(
    "for %s requests",
    (name, path, kind) => {
      it("get nothing more, and another life of one gets work again", async () => {
        const load = begin(`one-${name}`, path);
        await load.during(SETTLE_MS);
        const endpoints = of(kind);
        const [leaving] = [...endpoints].sort((left, right) =>
          right.arrivals.length - left.arrivals.length
        );
        leaving!.stated = LEAVING;
        await load.during(SETTLE_MS);
        const from = performance.now();
        await load.during(MEASURED_MS);
        const late = arrivalsSince([leaving!], from);
        const next = new StandInEndpoint(`${leaving!.id}-next`);
        next.delay = leaving!.delay;
        fleet.endpoints.push(next);
        const service = kind === "p" ? "plain" : "pool";
        const address = await next.listen();
        fleet.publishEndpoint(next.id, {
          service,
          address,
          state: "ready",
          sequence: 1,
        });
        // Entries read of it within a second.
        await load.during(SETTLE_MS);
        // Only it can serve: the others say now that they leave.
        endpoints.forEach((endpoint) => endpoint.stated = LEAVING);
        await load.during(SETTLE_MS);
        const results = await load.end();
        expect(late).toBe(0);
        expect(next.arrivals.length).toBeGreaterThan(0);
        expect(results.filter(({ status }) => status !== 200)).toEqual([]);
      });

      it("get nothing where all say so, and requests are refused at once", async () => {
        const endpoints = of(kind);
        endpoints.forEach((endpoint) => endpoint.stated = LEAVING);
        const load = begin(`all-${name}`, path);
        await load.during(SETTLE_MS);
        const from = performance.now();
        await load.during(MEASURED_MS);
        const late = arrivalsSince(endpoints, from);
        const results = await load.end();
        expect(late).toBe(0);
        const refused = results.slice(Math.ceil(2 * SETTLE_MS / EVERY_MS));
        for (const { status, retryAfter, took } of refused) {
          expect(status).toBe(503);
          expect(retryAfter).toBeGreaterThan(0.3);
          expect(took).toBeLessThan(1_000);
        }
        expect(refused.length).toBeGreaterThan(0);
      });
    },
  );
});
