import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { HEADERS } from "@sassafrasstep/platform";
import {
  callPlatform,
  type EndpointFault,
  type PlatformAnswer,
  PlatformFleet,
  route,
  ROUTES,
  THREE_ENDPOINTS_PER_SERVICE,
} from "../index.ts";

/** Statuses with which callers are told that their request did not run and never will. */
const PROMISE_STATUSES = [408, 421, 429, 503];
const REQUESTS = 30;
/** Each endpoint fails one of so many requests. */
const FAILURE_INTERVAL = 4;
const STREAM_TOKENS = "100,20";

interface Outcome extends PlatformAnswer {
  readonly call: string;
}

// Guards against callers that send an action again because they were told that it had not run.
describe("a promise that a request did not run", () => {
  const fleet = new PlatformFleet({ endpoints: THREE_ENDPOINTS_PER_SERVICE });
  let scope = 0;

  beforeAll(async () => {
    await fleet.prepare();
    fleet.publishDocument([
      ...ROUTES,
      route("twice", { kind: "non_idempotent", service: "plain", attempts: 2 }),
    ]);
    await fleet.start(2);
  });
  afterAll(() => fleet.close());
  afterEach(() => {
    for (const endpoint of fleet.endpoints) {
      endpoint.fault = "none";
      endpoint.statedHeaders = {};
      endpoint.executedCalls.length = 0;
    }
  });

  const executions = (call: string): number =>
    fleet.endpoints.flatMap(({ executedCalls }) => executedCalls)
      .filter((executed) => executed === call).length;

  /** Sends requests to both entries, a few at a time so that connections are used again. */
  const sendAll = async (
    path: string,
    tokens: string | undefined,
  ): Promise<Outcome[]> => {
    scope++;
    const outcomes: Outcome[] = [];
    for (let index = 0; index < REQUESTS; index += 2) {
      outcomes.push(
        ...await Promise.all(fleet.entries.map(async ({ callers }, entry) => {
          const call = `${scope}-${index + entry}`;
          const answer = await callPlatform(callers, {
            path: `/${path}/x`,
            call,
            ...(tokens === undefined ? {} : { tokens }),
          });
          return { ...answer, call };
        })),
      );
    }
    return outcomes;
  };

  const falsePromises = (outcomes: readonly Outcome[]): string[] =>
    outcomes.filter(({ call, status }) =>
      PROMISE_STATUSES.includes(status) && executions(call) > 0
    ).map(({ call, status }) => `${call}: ${status}`);

  const routes = [
    ["once", undefined],
    ["twice", undefined],
    ["again", undefined],
    ["stream", STREAM_TOKENS],
    ["resume", STREAM_TOKENS],
  ] as const;

  describe.each<EndpointFault>(["fails", "failsUnsealed"])(
    "that an endpoint did not make (%s)",
    (fault) => {
      it.each(routes)("reaches no caller of the route %s", async (
        name,
        tokens,
      ) => {
        for (const status of PROMISE_STATUSES) {
          for (const endpoint of fleet.endpoints) {
            endpoint.fault = fault;
            endpoint.failureStatus = status;
            endpoint.failureInterval = FAILURE_INTERVAL;
            // A misdirected request is what only another endpoint may call it.
            endpoint.statedHeaders = { [HEADERS.endpoint]: endpoint.id };
          }
          const outcomes = await sendAll(name, tokens);
          expect(falsePromises(outcomes)).toEqual([]);
          const executed = outcomes.filter(({ call }) => executions(call) > 0);
          expect(executed.length).toBeGreaterThan(REQUESTS / 2);
          for (const { status: received } of executed) {
            expect([200, 502]).toContain(received);
          }
        }
      });
    },
  );

  // Guards against an extra answer that is taken for the refusal of the next request on its connection.
  describe("that names no request, on a connection that had carried one", () => {
    it.each(routes)("is not given to a caller of the route %s", async (
      name,
      tokens,
    ) => {
      for (const endpoint of fleet.endpoints) {
        endpoint.fault = "extraRefusal";
      }
      const outcomes = await sendAll(name, tokens);
      expect(falsePromises(outcomes)).toEqual([]);
      const isRepeatable = name === "again" || name === "resume";
      const repeated = outcomes.filter(({ call }) => executions(call) > 1);
      expect(isRepeatable ? [] : repeated).toEqual([]);
    });
  });
});
