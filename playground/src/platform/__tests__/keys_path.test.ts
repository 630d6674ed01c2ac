import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  callPlatform,
  eventually,
  PlatformFleet,
  route,
  ROUTES,
} from "../index.ts";

const LIFETIME_MS = 3_000;
const KEYS = ["k-clinic-51c7", "k-lawyers-a09f", "k-later-77d2"] as const;
const [CLINIC, LAWYERS, LATER] = KEYS;
const PUBLIC = route("open", {
  kind: "idempotent",
  service: "plain",
  public: true,
});

function customer(name: string, keys: readonly string[], fields = {}): object {
  return { name, keys, priority: 1, home_regions: [], ...fields };
}

describe("customers by key, over real processes", () => {
  const fleet = new PlatformFleet({
    bounds: `key_lifetime_ms = ${LIFETIME_MS}\nstrict_keys = true\n`,
  });
  let calls = 0;

  function publish(clinic: readonly string[]): void {
    fleet.publishDocument([...ROUTES, PUBLIC], [
      customer("clinic", clinic),
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
    const call = `key-${++calls}`;
    const answer = await callPlatform(fleet.entries[entry]!.callers, {
      path,
      call,
      headers: key === undefined ? headers : { [HEADERS.key]: key, ...headers },
    });
    const retryAfter = Number(answer.headers[HEADERS.retryAfter] ?? 0);
    return { call, status: answer.status, retryAfter };
  }

  /** What an endpoint was told of a call, `undefined` where none got it. */
  function seenOf(call: string): NodeJS.Dict<string | string[]> | undefined {
    return fleet.endpoints.flatMap(({ requests }) => requests)
      .find(({ headers }) => headers[HEADERS.callId] === call)?.headers;
  }

  beforeAll(async () => {
    await fleet.prepare();
    publish([CLINIC]);
    await fleet.start(3);
  });
  afterAll(() => fleet.close());

  it("tells endpoints the name of the key's customer, and nothing of the key", async () => {
    const { call, status } = await send({
      key: CLINIC,
      headers: { [HEADERS.customer]: "lawyers" },
    });
    expect(status).toBe(200);
    expect(seenOf(call)).toMatchObject({ [HEADERS.customer]: "clinic" });
    expect(JSON.stringify(seenOf(call))).not.toContain(CLINIC);
  });

  it("refuses a key that nobody has, and a request without one", async () => {
    expect((await send({ key: "k-nobody" })).status).toBe(401);
    expect((await send({})).status).toBe(401);
  });

  it("asks for no key where the route is public", async () => {
    const { call, status } = await send({ path: "/open/x" });
    expect(status).toBe(200);
    expect(seenOf(call)?.[HEADERS.customer]).toBeUndefined();
  });

  it("limits a customer over all entries, and says when to come back", async () => {
    const answers = await Promise.all(
      Array.from(
        { length: 24 },
        (_, index) => send({ key: "k-scanner-0b1e", entry: index % 3 }),
      ),
    );
    const over = answers.filter(({ status }) => status === 429);
    expect(over.length).toBeGreaterThan(12);
    expect(over.every(({ retryAfter }) => retryAfter > 0)).toBe(true);
    expect(over.every(({ call }) => seenOf(call) === undefined)).toBe(true);
    expect((await send({ key: LAWYERS })).status).toBe(200);
  });

  it("takes a key as soon as it is added, and none that is taken away", async () => {
    publish([LATER]);
    expect((await send({ key: LATER, entry: 1 })).status).toBe(200);
    await eventually(async () =>
      (await send({ key: CLINIC, entry: 2 })).status === 401
    );
  });

  // An entry that was stopped for seconds took the key of its old document: it had read it just now, by its
  // own count.
  it("takes no key that was taken away while its process stood still", async () => {
    const { process: stopped } = fleet.entries[1]!;
    stopped.kill("SIGSTOP");
    publish([CLINIC]);
    await pause(LIFETIME_MS + 200);
    const late = Promise.all(
      Array.from({ length: 5 }, () => send({ key: LATER, entry: 1 })),
    );
    await pause(50);
    stopped.kill("SIGCONT");
    const answers = await late;
    expect(answers.map(({ call }) => seenOf(call))).toEqual(
      answers.map(() => undefined),
    );
    expect((await send({ key: CLINIC, entry: 1 })).status).toBe(200);
  });

  it("refuses keys once the store has been silent for their lifetime, and takes them again", async () => {
    fleet.store.fault = "silent";
    await pause(LIFETIME_MS + 400);
    const { status, retryAfter, call } = await send({ key: CLINIC });
    expect(status).toBe(503);
    expect(retryAfter).toBeGreaterThan(0);
    expect(seenOf(call)).toBeUndefined();
    expect((await send({ path: "/open/x" })).status).toBe(200);
    fleet.store.fault = "none";
    await eventually(async () => (await send({ key: CLINIC })).status === 200);
  });

  it("writes no key into any line, metric or status", async () => {
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

function pause(time: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, time));
}
