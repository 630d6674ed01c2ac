import { createServer } from "node:http";
import { milliseconds, type Revision } from "@sassafrasstep/core";
import { HEADERS, STORE_KEYS, StoreSource } from "@sassafrasstep/platform";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StandInStore, type StoreFault } from "../index.ts";
import { closeAtOnce, listenOnLoopback } from "../loopback.ts";

/** For reads that have to fail: they end with it. */
const SHORT = milliseconds(100);
/** For reads that have to succeed: on a busy machine the first one alone takes over 100 ms. */
const TIMEOUT = milliseconds(10_000);
const STALL_MS = 1_300;
const ENDPOINT = {
  service: "s",
  address: "1.2.3.4:5",
  zone: "a-1",
  version: "v1",
  slots: 8,
  state: "ready",
  cold_remaining_ms: 0,
  sequence: 1,
};

describe("the store's reader", () => {
  let store: StandInStore;
  let source: StoreSource;
  const notes: string[] = [];

  beforeEach(async () => {
    store = new StandInStore();
    notes.length = 0;
    source = new StoreSource(await store.listen(), (text) => notes.push(text));
  });
  afterEach(async () => {
    await source.close();
    await store.close();
  });

  it("reads all pages", async () => {
    for (let index = 0; index < 8; index++) {
      store.put(`${STORE_KEYS.endpoint}i-${index}`, ENDPOINT);
    }
    store.put(`${STORE_KEYS.evacuation}a-1`, {});
    const snapshot = await source.snapshot(TIMEOUT);
    expect(snapshot.endpoints.length).toBe(8);
    expect(snapshot.evacuated).toEqual(["a-1"]);
    expect(snapshot.document).toBeUndefined();
  });

  // Entries on slow links went by a document of long before, and those that had just started had none at
  // all: "Platform does not answer.", detail "Timed out", again and again, while 3,000 routes were on their
  // way. A read is limited as a whole, so that an answer that is large for its link never arrives in time.
  it("reads an answer that keeps coming for longer than its limit", async () => {
    for (const id of ["i-1", "i-2", "i-3"]) {
      store.put(`${STORE_KEYS.endpoint}${id}`, {
        ...ENDPOINT,
        version: "v".repeat(200),
      });
    }
    store.fault = "trickles";
    const from = performance.now();
    const snapshot = await source.snapshot(SHORT);
    expect(snapshot.endpoints.length).toBe(3);
    expect(performance.now() - from).toBeGreaterThan(2 * SHORT);
  });

  it("waits for changes", async () => {
    const { revision } = await source.snapshot(TIMEOUT);
    const waiting = source.changes(revision, {
      wait: milliseconds(5_000),
      timeout: milliseconds(6_000),
    });
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT);
    const answer = await waiting;
    expect(answer.kind).toBe("changes");
    if (answer.kind === "changes") {
      expect(answer.changes.changes.map(({ kind }) => kind)).toEqual([
        "endpoint",
      ]);
      expect(answer.changes.revision).toBe(1);
    }
  });

  // The store's answer lay in the socket when the process went on, and the read's timer came first:
  // "Platform does not answer.", and everything was read anew on another connection.
  it("takes an answer that came while the process stood still", async () => {
    const page = JSON.stringify({ items: [], more_pages: false, as_of: 7 });
    const server = createServer((_message, reply) => {
      reply.end(page, () => block(STALL_MS));
    });
    const reader = new StoreSource(await listenOnLoopback(server), () => {});
    try {
      const { revision } = await reader.snapshot(milliseconds(STALL_MS - 300));
      expect(revision).toBe(7);
    } finally {
      await reader.close();
      await closeAtOnce(server);
    }
  });

  it("tells of removals and of changes that are forgotten", async () => {
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT);
    store.remove(`${STORE_KEYS.endpoint}i-1`);
    const limits = { wait: milliseconds(0), timeout: TIMEOUT };
    const answer = await source.changes(1 as Revision, limits);
    expect(answer).toMatchObject({
      changes: { changes: [{ kind: "endpointRemoved", id: "i-1" }] },
    });
    store.compact();
    expect(await source.changes(1 as Revision, limits)).toEqual({
      kind: "compacted",
      epoch: 1,
    });
  });

  it.each<StoreFault>(["silent", "busy", "reset", "garbage", "slow"])(
    "fails in time where the store is %s, and reads again afterwards",
    async (fault) => {
      store.fault = fault;
      await expect(source.snapshot(SHORT)).rejects.toThrow();
      store.fault = "none";
      expect((await source.snapshot(TIMEOUT)).revision).toBe(0);
    },
  );

  /**
   * Symptom: all endpoints vanish from an entry's picture.
   * Sequence: one record of a new shape is written.
   * Cause: a whole page is dropped for one item that cannot be read.
   */
  it("reads the others where one record is wrong, and says which", async () => {
    store.put(`${STORE_KEYS.endpoint}i-1`, { ...ENDPOINT, address: 7 });
    store.putRaw(`${STORE_KEYS.endpoint}i-2`, "bm8=");
    store.put(`${STORE_KEYS.endpoint}i-3`, { ...ENDPOINT, unknown: true });
    const { endpoints } = await source.snapshot(TIMEOUT);
    expect(endpoints.map(({ id }) => id)).toEqual(["i-3"]);
    expect(notes.join("\n")).toContain('"address"');
    expect(notes.join("\n")).toContain("i-2");
  });

  /**
   * Symptom: an endpoint is used whose record another writer has overwritten.
   * Sequence: a watch brings an item under its key that cannot be read, beside good ones.
   * Cause: what could not be read was passed over, so that the former record held.
   */
  it("takes an endpoint out whose record became another thing, not the others", async () => {
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT);
    store.putRaw(`${STORE_KEYS.endpoint}i-1`, "bm8=");
    store.put(`${STORE_KEYS.endpoint}i-2`, ENDPOINT);
    const limits = { wait: milliseconds(0), timeout: TIMEOUT };
    const answer = await source.changes(1 as Revision, limits);
    expect(answer).toMatchObject({
      changes: {
        changes: [
          { kind: "endpointRemoved", id: "i-1" },
          { kind: "endpoint", record: { id: "i-2" } },
        ],
      },
    });
  });

  it("tells the epoch of each answer, also where history is gone", async () => {
    const copy = store.copy();
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT);
    const limits = { wait: milliseconds(0), timeout: TIMEOUT };
    expect(await source.snapshot(TIMEOUT)).toMatchObject({
      epoch: 1,
      revision: 1,
    });
    store.restore(copy);
    expect(await source.newest(TIMEOUT)).toEqual({ epoch: 2, revision: 0 });
    expect(await source.changes(0 as Revision, limits)).toMatchObject({
      changes: { epoch: 2, revision: 0 },
    });
    expect(await source.changes(1 as Revision, limits)).toEqual({
      kind: "compacted",
      epoch: 2,
    });
  });

  // Guards against a picture that is pieced together from before and after a restore.
  it("reads all pages of one epoch where the store is restored between two", async () => {
    const page = (epoch: number, key: string, more_pages: boolean): string =>
      JSON.stringify({
        epoch,
        items: [{ key: `${STORE_KEYS.evacuation}${key}`, value: "e30=" }],
        more_pages,
        as_of: 9 - epoch,
      });
    const pages = [
      page(1, "a-1", true),
      page(2, "b-2", false),
      page(2, "a-2", true),
      page(2, "b-2", false),
    ];
    const asked: string[] = [];
    const server = createServer(({ url }, reply) => {
      asked.push(new URL(url!, "http://store").searchParams.get("after") ?? "");
      const text = pages.shift()!;
      const { epoch } = JSON.parse(text) as { epoch: number };
      reply.setHeader(HEADERS.storeEpoch, String(epoch)).end(text);
    });
    const reader = new StoreSource(await listenOnLoopback(server), () => {});
    try {
      expect(await reader.snapshot(TIMEOUT)).toMatchObject({
        epoch: 2,
        revision: 7,
        evacuated: ["a-2", "b-2"],
      });
      expect(asked).toEqual([
        "",
        `${STORE_KEYS.evacuation}a-1`,
        "",
        `${STORE_KEYS.evacuation}a-2`,
      ]);
    } finally {
      await reader.close();
      await closeAtOnce(server);
    }
  });

  it("writes a line for each such key once, and few for thousands", async () => {
    for (let index = 0; index < 1_200; index++) {
      store.putRaw(`${STORE_KEYS.endpoint}foreign-${index}`, "bm8=");
    }
    await source.snapshot(TIMEOUT);
    const lines = notes.length;
    expect(lines).toBeLessThan(60);
    await source.snapshot(TIMEOUT);
    expect(notes.length - lines).toBeLessThan(5);
  });
});

/** Holds the loop up, as a stopped process or a busy machine does. */
function block(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}
