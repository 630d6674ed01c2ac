import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { mostWithin } from "../../client/most_within.ts";
import {
  type LoadResult,
  PlatformFleet,
  type StandInEndpoint,
  SteadyLoad,
  THREE_OF_EACH,
} from "../index.ts";

const ENTRIES = 4;
const EVERY_MS = 25;
/** A plain answer takes so long that no endpoint can serve all. */
const ANSWER_MS = 150;
const WINDOW_MS = 4_000;
/** Until a stated limit has to be kept. */
const SETTLE_MS = 1_500;
const MEASURED_MS = 6_000;
/** An endpoint bears its rate times this, and the slack, in one window. */
const OVERSHOOT = 1.5;
const SLACK = 5;

const mostAllowed = (perSecond: number): number =>
  Math.floor(perSecond * OVERSHOOT * WINDOW_MS / 1_000 + SLACK);

// Guards against endpoints that are given more than the limit that they state, by all entries together.
describe("endpoints that state a limit", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_OF_EACH });
  const of = fleet.endpointsOf.bind(fleet);
  const state = (endpoints: readonly StandInEndpoint[], limit?: string): void =>
    endpoints.forEach((endpoint) =>
      endpoint.stated = limit === undefined ? {} : { [HEADERS.limit]: limit }
    );
  /** Arrivals at an endpoint in the worst window, and altogether, while a load runs. */
  const measure = async (
    load: SteadyLoad,
    endpoints: readonly StandInEndpoint[],
  ): Promise<{ most: number[]; sums: number[] }> => {
    await load.during(SETTLE_MS);
    const from = performance.now();
    await load.during(MEASURED_MS);
    const seen = endpoints.map(({ arrivals }) =>
      arrivals.filter((at) => at >= from)
    );
    return {
      most: seen.map((arrivals) => mostWithin(arrivals, WINDOW_MS)),
      sums: seen.map(({ length }) => length),
    };
  };
  const busiest = async (
    load: SteadyLoad,
    endpoints: readonly StandInEndpoint[],
  ): Promise<StandInEndpoint> => {
    const before = endpoints.map(({ arrivals }) => arrivals.length);
    await load.during(SETTLE_MS);
    const grown = endpoints.map(({ arrivals }, index) =>
      arrivals.length - before[index]!
    );
    return endpoints[grown.indexOf(Math.max(...grown))]!;
  };
  const begin = (name: string, path: string): SteadyLoad =>
    new SteadyLoad(fleet.entries, { every: EVERY_MS, paths: [path], name });
  const refused = (results: readonly LoadResult[]): readonly LoadResult[] =>
    results.filter(({ status }) => status !== 200);

  beforeAll(async () => {
    await fleet.prepare();
    of("p").forEach((endpoint) => endpoint.delay = ANSWER_MS);
    await fleet.start(ENTRIES);
  });
  afterAll(() => fleet.close());
  beforeEach(() => state(fleet.endpoints));

  describe.each([["plain", "/again/x", "p"], ["stream", "/stream/x", "e"]])(
    "for %s requests",
    (name, path, kind) => {
      it("get no more where one of three states it, lowers it and lifts it", async () => {
        const load = begin(`one-${name}`, path);
        const limited = await busiest(load, of(kind));
        state([limited], "4");
        const first = await measure(load, [limited]);
        state([limited], "1.2");
        const lowered = await measure(load, [limited]);
        state([limited]);
        const lifted = await measure(load, [limited]);
        const results = await load.end();
        expect(first.most[0]).toBeLessThanOrEqual(mostAllowed(4));
        expect(lowered.most[0]).toBeLessThanOrEqual(mostAllowed(1.2));
        expect(first.sums[0]).toBeGreaterThan(MEASURED_MS / 1_000 * 4 / 2);
        expect(lowered.sums[0]).toBeGreaterThan(MEASURED_MS / 1_000 * 1.2 / 2);
        expect(lifted.sums[0]).toBeGreaterThan(MEASURED_MS / EVERY_MS / 6);
        expect(refused(results)).toEqual([]);
      });

      it("get no more where all state it, and the rest is refused at once", async () => {
        const endpoints = of(kind);
        state(endpoints, "2.2");
        const load = begin(`all-${name}`, path);
        const { most, sums } = await measure(load, endpoints);
        const results = await load.end();
        for (const found of most) {
          expect(found).toBeLessThanOrEqual(mostAllowed(2.2));
        }
        const sum = sums.reduce((total, one) => total + one, 0);
        expect(sum).toBeGreaterThan(MEASURED_MS / 1_000 * 6.6 / 2);
        const turnedAway = refused(results);
        expect(turnedAway.length).toBeGreaterThan(results.length / 3);
        for (const { status, retryAfter } of turnedAway) {
          expect(status).toBe(503);
          expect(retryAfter).toBeGreaterThan(0.3);
        }
        const waits = turnedAway.map(({ took }) => took).sort((a, b) => a - b);
        expect(waits[Math.floor(waits.length / 2)]).toBeLessThan(500);
      });
    },
  );
});
