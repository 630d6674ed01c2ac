import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { mostWithin } from "../../client/most_within.ts";
import {
  type LoadResult,
  PlatformFleet,
  type StandInEndpoint,
  SteadyLoad,
  THREE_ENDPOINTS_PER_SERVICE,
} from "../index.ts";

const ENTRIES = 4;
const REQUEST_INTERVAL_MS = 25;
/** Long enough that no single endpoint can serve all plain requests. */
const ANSWER_DELAY_MS = 150;
const WINDOW_MS = 4_000;
/** Time after which a stated limit must be kept. */
const SETTLE_MS = 1_500;
const MEASURED_MS = 6_000;
/** In one window an endpoint may get its rate times this factor, plus the slack. */
const OVERSHOOT = 1.5;
const SLACK_REQUESTS = 5;

const maxPerWindow = (perSecond: number): number =>
  Math.floor(perSecond * OVERSHOOT * WINDOW_MS / 1_000 + SLACK_REQUESTS);

// Guards against endpoints that get more requests from all entries together than the limit that they state.
describe("endpoints that state a limit", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_ENDPOINTS_PER_SERVICE });
  const endpointsWith = fleet.endpointsWithPrefix.bind(fleet);
  const stateLimit = (
    endpoints: readonly StandInEndpoint[],
    limit?: string,
  ): void =>
    endpoints.forEach((endpoint) =>
      endpoint.statedHeaders = limit === undefined
        ? {}
        : { [HEADERS.limit]: limit }
    );
  /** Arrivals per endpoint while a load runs: in the busiest window and in total. */
  const measure = async (
    load: SteadyLoad,
    endpoints: readonly StandInEndpoint[],
  ): Promise<{ peaks: number[]; totals: number[] }> => {
    await load.runFor(SETTLE_MS);
    const from = performance.now();
    await load.runFor(MEASURED_MS);
    const measured = endpoints.map(({ arrivalTimes }) =>
      arrivalTimes.filter((at) => at >= from)
    );
    return {
      peaks: measured.map((arrivalTimes) =>
        mostWithin(arrivalTimes, WINDOW_MS)
      ),
      totals: measured.map(({ length }) => length),
    };
  };
  const busiest = async (
    load: SteadyLoad,
    endpoints: readonly StandInEndpoint[],
  ): Promise<StandInEndpoint> => {
    const before = endpoints.map(({ arrivalTimes }) => arrivalTimes.length);
    await load.runFor(SETTLE_MS);
    const increases = endpoints.map(({ arrivalTimes }, index) =>
      arrivalTimes.length - before[index]!
    );
    return endpoints[increases.indexOf(Math.max(...increases))]!;
  };
  const startLoad = (callPrefix: string, path: string): SteadyLoad =>
    new SteadyLoad(fleet.entries, {
      intervalMs: REQUEST_INTERVAL_MS,
      paths: [path],
      callPrefix,
    });
  const refused = (results: readonly LoadResult[]): readonly LoadResult[] =>
    results.filter(({ status }) => status !== 200);

  beforeAll(async () => {
    await fleet.prepare();
    endpointsWith("p").forEach((endpoint) =>
      endpoint.delayMs = ANSWER_DELAY_MS
    );
    await fleet.start(ENTRIES);
  });
  afterAll(() => fleet.close());
  beforeEach(() => stateLimit(fleet.endpoints));

  describe.each([["plain", "/again/x", "p"], ["stream", "/stream/x", "e"]])(
    "for %s requests",
    (name, path, idPrefix) => {
      it("get no more than it where one of three states, lowers and lifts a limit", async () => {
        const load = startLoad(`one-${name}`, path);
        const limited = await busiest(load, endpointsWith(idPrefix));
        stateLimit([limited], "4");
        const first = await measure(load, [limited]);
        stateLimit([limited], "1.2");
        const lowered = await measure(load, [limited]);
        stateLimit([limited]);
        const lifted = await measure(load, [limited]);
        const results = await load.stop();
        expect(first.peaks[0]).toBeLessThanOrEqual(maxPerWindow(4));
        expect(lowered.peaks[0]).toBeLessThanOrEqual(maxPerWindow(1.2));
        expect(first.totals[0]).toBeGreaterThan(MEASURED_MS / 1_000 * 4 / 2);
        expect(lowered.totals[0]).toBeGreaterThan(
          MEASURED_MS / 1_000 * 1.2 / 2,
        );
        expect(lifted.totals[0]).toBeGreaterThan(
          MEASURED_MS / REQUEST_INTERVAL_MS / 6,
        );
        expect(refused(results)).toEqual([]);
      });

      it("get no more than it where all state a limit, and further requests are refused at once", async () => {
        const endpoints = endpointsWith(idPrefix);
        stateLimit(endpoints, "2.2");
        const load = startLoad(`all-${name}`, path);
        const { peaks, totals } = await measure(load, endpoints);
        const results = await load.stop();
        for (const peak of peaks) {
          expect(peak).toBeLessThanOrEqual(maxPerWindow(2.2));
        }
        const sum = totals.reduce((total, one) => total + one, 0);
        expect(sum).toBeGreaterThan(MEASURED_MS / 1_000 * 6.6 / 2);
        const refusedResults = refused(results);
        expect(refusedResults.length).toBeGreaterThan(results.length / 3);
        for (const { status, retryAfterS } of refusedResults) {
          expect(status).toBe(503);
          expect(retryAfterS).toBeGreaterThan(0.3);
        }
        const durationsMs = refusedResults.map(({ durationMs }) => durationMs)
          .sort((a, b) => a - b);
        expect(durationsMs[Math.floor(durationsMs.length / 2)]).toBeLessThan(
          500,
        );
      });
    },
  );
});
