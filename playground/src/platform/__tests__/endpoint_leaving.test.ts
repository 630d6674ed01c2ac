import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import {
  PlatformFleet,
  StandInEndpoint,
  SteadyLoad,
  THREE_ENDPOINTS_PER_SERVICE,
} from "../index.ts";

const ENTRIES = 4;
const REQUEST_INTERVAL_MS = 25;
/** Long enough that no single endpoint can serve all plain requests. */
const ANSWER_DELAY_MS = 150;
/** By then every entry has received an answer that states the change. */
const SETTLE_MS = 1_500;
const MEASURED_MS = 4_000;
const LEAVING_HEADERS = { [HEADERS.leaving]: "1" };

// Guards against requests to endpoints whose answers state that they are leaving while the store still lists them
// as ready.
describe("endpoints that say that they leave", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_ENDPOINTS_PER_SERVICE });
  const endpointsWith = fleet.endpointsWithPrefix.bind(fleet);
  const arrivalsSince = (
    endpoints: readonly StandInEndpoint[],
    from: number,
  ): number =>
    endpoints.flatMap(({ arrivalTimes }) => arrivalTimes).filter((at) =>
      at >= from
    )
      .length;
  const startLoad = (callPrefix: string, path: string): SteadyLoad =>
    new SteadyLoad(fleet.entries, {
      intervalMs: REQUEST_INTERVAL_MS,
      paths: [path],
      callPrefix,
    });

  beforeAll(async () => {
    await fleet.prepare();
    endpointsWith("p").forEach((endpoint) =>
      endpoint.delayMs = ANSWER_DELAY_MS
    );
    await fleet.start(ENTRIES);
  });
  afterAll(() => fleet.close());
  beforeEach(() =>
    fleet.endpoints.forEach((endpoint) => endpoint.statedHeaders = {})
  );

  describe.each([["plain", "/again/x", "p"], ["stream", "/stream/x", "e"]])(
    "for %s requests",
    (name, path, idPrefix) => {
      it("get no more requests, and a newly started endpoint gets requests", async () => {
        const load = startLoad(`one-${name}`, path);
        await load.runFor(SETTLE_MS);
        const endpoints = endpointsWith(idPrefix);
        const [leaving] = [...endpoints].sort((left, right) =>
          right.arrivalTimes.length - left.arrivalTimes.length
        );
        leaving!.statedHeaders = LEAVING_HEADERS;
        await load.runFor(SETTLE_MS);
        const from = performance.now();
        await load.runFor(MEASURED_MS);
        const lateArrivals = arrivalsSince([leaving!], from);
        const replacement = new StandInEndpoint(`${leaving!.id}-next`);
        replacement.delayMs = leaving!.delayMs;
        fleet.endpoints.push(replacement);
        const service = idPrefix === "p" ? "plain" : "pool";
        const address = await replacement.listen();
        fleet.publishEndpoint(replacement.id, {
          service,
          address,
          state: "ready",
          sequence: 1,
        });
        // Entries read its record within a second.
        await load.runFor(SETTLE_MS);
        // Only the new endpoint can serve now: the others state that they are leaving.
        endpoints.forEach((endpoint) =>
          endpoint.statedHeaders = LEAVING_HEADERS
        );
        await load.runFor(SETTLE_MS);
        const results = await load.stop();
        expect(lateArrivals).toBe(0);
        expect(replacement.arrivalTimes.length).toBeGreaterThan(0);
        expect(results.filter(({ status }) => status !== 200)).toEqual([]);
      });

      it("get no requests where all are leaving, and requests are refused at once", async () => {
        const endpoints = endpointsWith(idPrefix);
        endpoints.forEach((endpoint) =>
          endpoint.statedHeaders = LEAVING_HEADERS
        );
        const load = startLoad(`all-${name}`, path);
        await load.runFor(SETTLE_MS);
        const from = performance.now();
        await load.runFor(MEASURED_MS);
        const lateArrivals = arrivalsSince(endpoints, from);
        const results = await load.stop();
        expect(lateArrivals).toBe(0);
        const refused = results.slice(
          Math.ceil(2 * SETTLE_MS / REQUEST_INTERVAL_MS),
        );
        for (const { status, retryAfterS, durationMs } of refused) {
          expect(status).toBe(503);
          expect(retryAfterS).toBeGreaterThan(0.3);
          expect(durationMs).toBeLessThan(1_000);
        }
        expect(refused.length).toBeGreaterThan(0);
      });
    },
  );
});
