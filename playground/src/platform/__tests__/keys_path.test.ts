import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  callPlatform,
  eventually,
  PlatformFleet,
  route,
  ROUTES,
} from "../index.ts";

const KEY_LIFETIME_MS = 3_000;
const KEYS = ["k-clinic-51c7", "k-lawyers-a09f", "k-later-77d2"] as const;
const [CLINIC, LAWYERS, LATER] = KEYS;
const PUBLIC_ROUTE = route("open", {
  kind: "idempotent",
  service: "plain",
  public: true,
});

function customer(name: string, keys: readonly string[], fields = {}): object {
  return { name, keys, priority: 1, home_regions: [], ...fields };
}

describe("customers by key, over real processes", () => {
  const fleet = new PlatformFleet({
    bounds: `key_lifetime_ms = ${KEY_LIFETIME_MS}\nstrict_keys = true\n`,
  });
  let callCount = 0;

  function publish(clinicKeys: readonly string[]): void {
    fleet.publishDocument([...ROUTES, PUBLIC_ROUTE], [
      customer("clinic", clinicKeys),
      customer("lawyers", [LAWYERS]),
      customer("scanner", ["k-scanner-0b1e"], {
        unit: "request",
        rate_per_s: 2,
        burst: 4,
      }),
    ]);
  }

  async function send(
    { path = "/again/x", key, entry = 0, headers = {} }: {
      path?: string;
      key?: string;
      entry?: number;
      headers?: Record<string, string>;
    },
  ): Promise<{ call: string; status: number; retryAfter: number }> {
    const call = `key-${++callCount}`;
    const answer = await callPlatform(fleet.entries[entry]!.callers, {
      path,
      call,
      headers: key === undefined ? headers : { [HEADERS.key]: key, ...headers },
    });
    const retryAfter = Number(answer.headers[HEADERS.retryAfter] ?? 0);
    return { call, status: answer.status, retryAfter };
  }

  /** Request headers that an endpoint received for a call, `undefined` if no endpoint received it. */
  function receivedHeaders(
    call: string,
  ): NodeJS.Dict<string | string[]> | undefined {
    return fleet.endpoints.flatMap(({ requests }) => requests)
      .find(({ headers }) => headers[HEADERS.callId] === call)?.headers;
  }

  beforeAll(async () => {
    await fleet.prepare();
    publish([CLINIC]);
    await fleet.start(3);
  });
  afterAll(() => fleet.close());

  it("passes the name of the key's customer to endpoints, but not the key", async () => {
    const { call, status } = await send({
      key: CLINIC,
      headers: { [HEADERS.customer]: "lawyers" },
    });
    expect(status).toBe(200);
    expect(receivedHeaders(call)).toMatchObject({
      [HEADERS.customer]: "clinic",
    });
    expect(JSON.stringify(receivedHeaders(call))).not.toContain(CLINIC);
  });

  it("refuses an unknown key and a request without a key", async () => {
    expect((await send({ key: "k-nobody" })).status).toBe(401);
    expect((await send({})).status).toBe(401);
  });

  it("requires no key where the route is public", async () => {
    const { call, status } = await send({ path: "/open/x" });
    expect(status).toBe(200);
    expect(receivedHeaders(call)?.[HEADERS.customer]).toBeUndefined();
  });

  it("limits a customer across all entries, and states when to retry", async () => {
    const answers = await Promise.all(
      Array.from(
        { length: 24 },
        (_, index) => send({ key: "k-scanner-0b1e", entry: index % 3 }),
      ),
    );
    const overLimit = answers.filter(({ status }) => status === 429);
    expect(overLimit.length).toBeGreaterThan(12);
    expect(overLimit.every(({ retryAfter }) => retryAfter > 0)).toBe(true);
    expect(overLimit.every(({ call }) => receivedHeaders(call) === undefined))
      .toBe(true);
    expect((await send({ key: LAWYERS })).status).toBe(200);
  });

  it("accepts a key once it is added, and rejects it once it is removed", async () => {
    publish([LATER]);
    expect((await send({ key: LATER, entry: 1 })).status).toBe(200);
    await eventually(async () =>
      (await send({ key: CLINIC, entry: 2 })).status === 401
    );
  });

  // Guards against an entry that accepts a removed key after its process was paused for seconds: by its own
  // clock it had only just read the old document.
  it("rejects a key that was removed while the process was paused", async () => {
    const { process: paused } = fleet.entries[1]!;
    paused.kill("SIGSTOP");
    publish([CLINIC]);
    await pause(KEY_LIFETIME_MS + 200);
    const lateRequests = Promise.all(
      Array.from({ length: 5 }, () => send({ key: LATER, entry: 1 })),
    );
    await pause(50);
    paused.kill("SIGCONT");
    const answers = await lateRequests;
    expect(answers.map(({ call }) => receivedHeaders(call))).toEqual(
      answers.map(() => undefined),
    );
    expect((await send({ key: CLINIC, entry: 1 })).status).toBe(200);
  });

  it("refuses keys once the store has been silent for their lifetime, and accepts them when it is back", async () => {
    fleet.store.fault = "silent";
    await pause(KEY_LIFETIME_MS + 400);
    const { status, retryAfter, call } = await send({ key: CLINIC });
    expect(status).toBe(503);
    expect(retryAfter).toBeGreaterThan(0);
    expect(receivedHeaders(call)).toBeUndefined();
    expect((await send({ path: "/open/x" })).status).toBe(200);
    fleet.store.fault = "none";
    await eventually(async () => (await send({ key: CLINIC })).status === 200);
  });

  it("writes no key to any log line, metric or status", async () => {
    await Promise.all(
      Array.from(
        { length: 24 },
        (_, index) => send({ key: "k-scanner-0b1e", entry: index % 3 }),
      ),
    );
    await eventually(() => fleet.output.includes("over_limit"));
    const pages = await Promise.all(
      fleet.entries.flatMap(({ control }) =>
        ["/metrics", "/trpc/status"].map(async (path) =>
          await (await fetch(`http://${control}${path}`)).text()
        )
      ),
    );
    const written = [fleet.output, ...pages].join("\n");
    expect(written).toContain("over_limit");
    expect(written).toContain("key_in_doubt");
    for (const key of [...KEYS, "k-scanner-0b1e", "k-nobody"]) {
      expect(written).not.toContain(key);
    }
  });
});

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
