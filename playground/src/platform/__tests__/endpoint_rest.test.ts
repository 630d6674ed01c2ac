import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import {
  PlatformFleet,
  type StandInEndpoint,
  SteadyLoad,
  THREE_OF_EACH,
} from "../index.ts";

const EVERY_MS = 33;
/** A plain answer takes so long that no endpoint can serve all. */
const ANSWER_MS = 150;
const REST_S = 3;
const REST_MS = 3_000;
/** What was under way when the endpoint answered may still arrive for so long. */
const CROSSING_MS = 500;
const MOST_IN_REST = 2;
const AFTER_MS = 5_000;
/** Requests that fall on an endpoint in the first moment after its rest. */
const MOST_AT_ONCE = 3;
const MOMENT_MS = 250;

// Guards against requests to endpoints that turned one away and asked for rest, and against leaving them idle.
describe("endpoints that want rest", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_OF_EACH });
  const of = fleet.endpointsOf.bind(fleet);
  const tire = (endpoint: StandInEndpoint): void => {
    endpoint.fault = "full";
    endpoint.stated = { [HEADERS.retryAfter]: String(REST_S) };
  };
  const recover = (endpoint: StandInEndpoint): void => {
    endpoint.fault = "none";
    endpoint.stated = {};
  };
  const within = (
    { arrivals }: StandInEndpoint,
    from: number,
    to: number,
  ): readonly number[] => arrivals.filter((at) => at >= from && at < to);
  /** When an endpoint next turns a request away. */
  const turnsAway = async (
    load: SteadyLoad,
    endpoint: StandInEndpoint,
  ): Promise<number> => {
    const before = endpoint.arrivals.length;
    while (endpoint.arrivals.length === before) {
      await load.during(5);
    }
    return endpoint.arrivals[before]!;
  };

  beforeAll(async () => {
    await fleet.prepare();
    of("p").forEach((endpoint) => endpoint.delay = ANSWER_MS);
    await fleet.start(1);
  });
  afterAll(() => fleet.close());
  beforeEach(() => fleet.endpoints.forEach(recover));

  describe.each([["plain", "/again/x", "p"], ["stream", "/stream/x", "e"]])(
    "for %s requests",
    (name, path, kind) => {
      const begin = (what: string): SteadyLoad =>
        new SteadyLoad(fleet.entries, {
          every: EVERY_MS,
          paths: [path],
          name: `${what}-${name}`,
        });

      it("get it, and work again afterwards, but not at once all that there is", async () => {
        const load = begin("one");
        await load.during(1_500);
        const [tired] = [...of(kind)].sort((left, right) =>
          right.arrivals.length - left.arrivals.length
        );
        tire(tired!);
        const at = await turnsAway(load, tired!);
        await load.during(CROSSING_MS);
        recover(tired!);
        await load.during(REST_MS + AFTER_MS);
        const results = await load.end();
        const rest = within(tired!, at + CROSSING_MS, at + REST_MS);
        const after = within(tired!, at + REST_MS, at + REST_MS + AFTER_MS);
        expect(rest.length).toBeLessThanOrEqual(MOST_IN_REST);
        expect(after.length).toBeGreaterThan(5);
        const back = within(tired!, after[0]!, after[0]! + MOMENT_MS);
        expect(back.length).toBeLessThanOrEqual(MOST_AT_ONCE);
        expect(results.filter(({ status }) => status !== 200)).toEqual([]);
      });

      it("get it where all want it, and requests are refused at once until the first is back", async () => {
        const endpoints = of(kind);
        const load = begin("all");
        await load.during(500);
        endpoints.forEach(tire);
        const times = await Promise.all(
          endpoints.map((endpoint) => turnsAway(load, endpoint)),
        );
        await load.during(CROSSING_MS);
        const from = performance.now();
        endpoints.forEach(recover);
        const last = Math.max(...times);
        await load.during(last + REST_MS - from + AFTER_MS);
        const results = await load.end();
        endpoints.forEach((endpoint, index) => {
          const at = times[index]!;
          const rest = within(endpoint, at + CROSSING_MS, at + REST_MS);
          expect(rest.length).toBeLessThanOrEqual(MOST_IN_REST);
        });
        const refused = results.filter(({ status }) => status !== 200);
        expect(refused.length).toBeGreaterThan(20);
        for (const { status, retryAfter, took } of refused) {
          expect(status).toBe(503);
          expect(retryAfter).toBeGreaterThan(0);
          expect(retryAfter).toBeLessThan(2 * REST_S);
          expect(took).toBeLessThan(1_000);
        }
        expect(results.slice(-30).map(({ status }) => status))
          .toEqual(new Array(30).fill(200));
      });
    },
  );
});
