import { STORE_KEYS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  type CopyTime,
  eventually,
  type RefusalScript,
  RefusingEndpoint,
  route,
} from "../../bytes/index.ts";
import { callPlatform } from "../index.ts";

const PROMISE_STATUSES = [408, 421, 429, 503];
const OK = 200;
const REQUESTS = 9;
/** Rounds of requests that bear one id. */
const ROUNDS = 6;
/** One of so many requests is refused when it first arrives. */
const REFUSAL_INTERVAL = 3;
/** Times that a caller sends a request which it was told had not run. */
const MAX_SENDS = 4;
const STREAM_TOKENS = "100,20";
const COPY_TIMES: readonly CopyTime[] = ["atOnce", "later", "beforeNext"];
const STATUSES = [503, 429];
/** The entry in the endpoints' region, and one in a region without endpoints, which relays. */
const ENTRIES = { direct: 0, relayed: 1 } as const;
const ROUTES = {
  once: { kind: "non_idempotent", service: "plain", attempts: 1 },
  twice: { kind: "non_idempotent", service: "plain", attempts: 3 },
  again: { kind: "idempotent", service: "plain", attempts: 3 },
  stream: { kind: "stream", service: "pool", attempts: 3 },
  resume: { kind: "stream", service: "pool", attempts: 3, resumable: true },
} as const;

const cases = (["direct", "relayed"] as const).flatMap((entry) =>
  STATUSES.map((status) => [entry, status] as const)
);

type RouteName = keyof typeof ROUTES;

const ROUTE_NAMES = Object.keys(ROUTES) as RouteName[];

const isRefused = (call: string): boolean =>
  Number(call.slice(1)) % REFUSAL_INTERVAL === 0;

interface Outcome {
  readonly call: string;
  readonly status: number;
}

// Guards against the copy of a refusal that is taken for the answer to the same request, which is under way again.
describe("a refusal that its endpoint sends once more", () => {
  const endpoints = {
    plain: new RefusingEndpoint("i-plain"),
    pool: new RefusingEndpoint("i-pool"),
  };
  const fleet = new ByteFleet({
    engines: Object.entries(endpoints).map(([service, engine]) => ({
      engine,
      service,
    })),
    entries: ["a", "b"],
  });
  let calls = 0;

  beforeAll(async () => {
    await fleet.start();
    fleet.store.put(STORE_KEYS.document, {
      version: 1_001,
      routes: Object.entries(ROUTES).map(([name, fields]) =>
        route(name, fields)
      ),
      services: [
        { name: "plain", connection_limit: 200, cold_s: 0, cold_per_s: 0 },
        {
          name: "pool",
          connection_limit: 200,
          cold_s: 0,
          cold_per_s: 0,
          engine: { slots: 64, cache_tokens: 100_000 },
        },
      ],
      limits: {
        header_bytes: 16_384,
        body_bytes: 65_536,
        header_ms: 3_000,
        idle_ms: 15_000,
      },
    });
    for (const entry of Object.values(ENTRIES)) {
      await eventually(async () => {
        const outcomes = await Promise.all(
          ROUTE_NAMES.map((name) => ask(name, entry)),
        );
        return outcomes.every(({ status }) => status === OK);
      });
    }
  });
  afterAll(() => fleet.close());

  /** Sends a request once; resolves with the status of its answer. */
  const send = async (
    name: RouteName,
    { call, entry }: { call: string; entry: number },
  ): Promise<number> => {
    const { status } = await callPlatform(fleet.entries[entry]!.callers, {
      path: `/${name}/x`,
      call,
      ...(ROUTES[name].service === "pool" ? { tokens: STREAM_TOKENS } : {}),
    });
    return status;
  };

  /** Sends a request again, under its id, as long as it is refused. */
  const ask = async (name: RouteName, entry: number): Promise<Outcome> => {
    const call = `c${calls++}`;
    let status = await send(name, { call, entry });
    for (
      let sends = 1;
      sends < MAX_SENDS && PROMISE_STATUSES.includes(status);
      sends++
    ) {
      status = await send(name, { call, entry });
    }
    return { call, status };
  };

  const runsOf = (name: RouteName, call: string): number =>
    endpoints[ROUTES[name].service].runsOf(call);

  const setScripts = (script: Omit<RefusalScript, "refuses">): void => {
    for (const endpoint of Object.values(endpoints)) {
      endpoint.script = { ...script, refuses: isRefused };
    }
  };

  /** Sends requests of all routes; returns what is wrong with how they ended. */
  const findFaults = async (entry: number): Promise<string[]> => {
    const faults = await Promise.all(ROUTE_NAMES.map(async (name) => {
      const outcomes: Outcome[] = [];
      for (let index = 0; index < REQUESTS; index++) {
        outcomes.push(await ask(name, entry));
      }
      return outcomes.flatMap(({ call, status }) => {
        const runs = runsOf(name, call);
        return runs === 1 && status === OK
          ? []
          : [`${name}: ${status}, ran ${runs} times`];
      });
    }));
    return faults.flat();
  };

  // Guards against a request that its caller sends to two entries at once, and that runs behind a promise to both.
  describe.each(COPY_TIMES)(
    "%s, where two requests have one id",
    (copyTime) => {
      it.each([
        ["one entry", [ENTRIES.direct, ENTRIES.direct]],
        ["an entry and one that relays", [ENTRIES.direct, ENTRIES.relayed]],
        ["an entry that relays", [ENTRIES.relayed, ENTRIES.relayed]],
      ])("is no promise for what runs, at %s", async (_name, entries) => {
        setScripts({ copyTime, status: 503, forSameCall: false });
        const faults: string[] = [];
        for (let round = 0; round < ROUNDS; round++) {
          await Promise.all(ROUTE_NAMES.map(async (name) => {
            const call = `c${calls++}`;
            const sendToAll = (): Promise<number[]> =>
              Promise.all(entries.map((entry) => send(name, { call, entry })));
            const statuses = [...await sendToAll(), ...await sendToAll()];
            const runs = runsOf(name, call);
            const unpromised = statuses.filter((status) =>
              !PROMISE_STATUSES.includes(status)
            );
            if (runs > unpromised.length) {
              faults.push(`${name}: ${statuses}, ran ${runs} times`);
            }
          }));
        }
        expect(faults).toEqual([]);
      });
    },
  );

  describe.each(COPY_TIMES)("%s", (copyTime) => {
    it.each(cases)(
      "is not the answer to its request, under way again (%s, %i)",
      async (entry, status) => {
        setScripts({ copyTime, status, forSameCall: true });
        expect(await findFaults(ENTRIES[entry])).toEqual([]);
      },
    );
  });
});
