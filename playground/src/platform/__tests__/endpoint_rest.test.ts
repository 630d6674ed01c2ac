import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import {
  PlatformFleet,
  type StandInEndpoint,
  SteadyLoad,
  THREE_ENDPOINTS_PER_SERVICE,
} from "../index.ts";

const REQUEST_INTERVAL_MS = 33;
/** Long enough that no single endpoint can serve all plain requests. */
const ANSWER_DELAY_MS = 150;
const BACKOFF_S = 3;
const BACKOFF_MS = 3_000;
/** Requests that were in flight when the endpoint refused may still arrive for this time. */
const IN_FLIGHT_MS = 500;
const MAX_DURING_BACKOFF = 2;
const AFTER_BACKOFF_MS = 5_000;
/** Most requests that an endpoint may get in the first `RETURN_WINDOW_MS` after its backoff. */
const MAX_ON_RETURN = 3;
const RETURN_WINDOW_MS = 250;

// Guards against requests to endpoints that refused one and asked for a backoff, and against leaving such endpoints
// idle after it.
describe("endpoints that want rest", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_ENDPOINTS_PER_SERVICE });
  const endpointsWith = fleet.endpointsWithPrefix.bind(fleet);
  const startRefusing = (endpoint: StandInEndpoint): void => {
    endpoint.fault = "full";
    endpoint.statedHeaders = { [HEADERS.retryAfter]: String(BACKOFF_S) };
  };
  const stopRefusing = (endpoint: StandInEndpoint): void => {
    endpoint.fault = "none";
    endpoint.statedHeaders = {};
  };
  const arrivalsWithin = (
    { arrivalTimes }: StandInEndpoint,
    from: number,
    to: number,
  ): readonly number[] => arrivalTimes.filter((at) => at >= from && at < to);
  /** Waits for the next request to a refusing endpoint; resolves with its arrival time. */
  const nextRefusalTime = async (
    load: SteadyLoad,
    endpoint: StandInEndpoint,
  ): Promise<number> => {
    const before = endpoint.arrivalTimes.length;
    while (endpoint.arrivalTimes.length === before) {
      await load.runFor(5);
    }
    return endpoint.arrivalTimes[before]!;
  };

  beforeAll(async () => {
    await fleet.prepare();
    endpointsWith("p").forEach((endpoint) =>
      endpoint.delayMs = ANSWER_DELAY_MS
    );
    await fleet.start(1);
  });
  afterAll(() => fleet.close());
  beforeEach(() => fleet.endpoints.forEach(stopRefusing));

  describe.each([["plain", "/again/x", "p"], ["stream", "/stream/x", "e"]])(
    "for %s requests",
    (name, path, idPrefix) => {
      const startLoad = (scope: string): SteadyLoad =>
        new SteadyLoad(fleet.entries, {
          intervalMs: REQUEST_INTERVAL_MS,
          paths: [path],
          callPrefix: `${scope}-${name}`,
        });

      it("get it, and requests afterwards, but not all of them at once", async () => {
        const load = startLoad("one");
        await load.runFor(1_500);
        const [refusing] = [...endpointsWith(idPrefix)].sort((left, right) =>
          right.arrivalTimes.length - left.arrivalTimes.length
        );
        startRefusing(refusing!);
        const refusedAt = await nextRefusalTime(load, refusing!);
        await load.runFor(IN_FLIGHT_MS);
        stopRefusing(refusing!);
        await load.runFor(BACKOFF_MS + AFTER_BACKOFF_MS);
        const results = await load.stop();
        const duringBackoff = arrivalsWithin(
          refusing!,
          refusedAt + IN_FLIGHT_MS,
          refusedAt + BACKOFF_MS,
        );
        const afterBackoff = arrivalsWithin(
          refusing!,
          refusedAt + BACKOFF_MS,
          refusedAt + BACKOFF_MS + AFTER_BACKOFF_MS,
        );
        expect(duringBackoff.length).toBeLessThanOrEqual(MAX_DURING_BACKOFF);
        expect(afterBackoff.length).toBeGreaterThan(5);
        const onReturn = arrivalsWithin(
          refusing!,
          afterBackoff[0]!,
          afterBackoff[0]! + RETURN_WINDOW_MS,
        );
        expect(onReturn.length).toBeLessThanOrEqual(MAX_ON_RETURN);
        expect(results.filter(({ status }) => status !== 200)).toEqual([]);
      });

      it("get it where all ask for it, and requests are refused at once until the first is back", async () => {
        const endpoints = endpointsWith(idPrefix);
        const load = startLoad("all");
        await load.runFor(500);
        endpoints.forEach(startRefusing);
        const refusalTimes = await Promise.all(
          endpoints.map((endpoint) => nextRefusalTime(load, endpoint)),
        );
        await load.runFor(IN_FLIGHT_MS);
        const from = performance.now();
        endpoints.forEach(stopRefusing);
        const lastRefusal = Math.max(...refusalTimes);
        await load.runFor(lastRefusal + BACKOFF_MS - from + AFTER_BACKOFF_MS);
        const results = await load.stop();
        endpoints.forEach((endpoint, index) => {
          const refusedAt = refusalTimes[index]!;
          const duringBackoff = arrivalsWithin(
            endpoint,
            refusedAt + IN_FLIGHT_MS,
            refusedAt + BACKOFF_MS,
          );
          expect(duringBackoff.length).toBeLessThanOrEqual(MAX_DURING_BACKOFF);
        });
        const refused = results.filter(({ status }) => status !== 200);
        expect(refused.length).toBeGreaterThan(20);
        for (const { status, retryAfterS, durationMs } of refused) {
          expect(status).toBe(503);
          expect(retryAfterS).toBeGreaterThan(0);
          expect(retryAfterS).toBeLessThan(2 * BACKOFF_S);
          expect(durationMs).toBeLessThan(1_000);
        }
        expect(results.slice(-30).map(({ status }) => status))
          .toEqual(new Array(30).fill(200));
      });
    },
  );
});
