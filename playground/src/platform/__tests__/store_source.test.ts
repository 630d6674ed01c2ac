import { createServer } from "node:http";
import { milliseconds, type Revision } from "@sassafrasstep/core";
import { HEADERS, STORE_KEYS, StoreSource } from "@sassafrasstep/platform";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StandInStore, type StoreFault } from "../index.ts";
import { forceClose, listenOnLoopback } from "../loopback.ts";

/** For reads that have to fail: they take this long. */
const SHORT_TIMEOUT_MS = milliseconds(100);
/** For reads that have to succeed: on a busy machine the first read alone takes over 100 ms. */
const TIMEOUT_MS = milliseconds(10_000);
const BLOCKED_MS = 1_300;
const ENDPOINT_RECORD = {
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
  const messages: string[] = [];

  beforeEach(async () => {
    store = new StandInStore();
    messages.length = 0;
    source = new StoreSource(
      await store.listen(),
      (text) => messages.push(text),
    );
  });
  afterEach(async () => {
    await source.close();
    await store.close();
  });

  it("reads all pages", async () => {
    for (let index = 0; index < 8; index++) {
      store.put(`${STORE_KEYS.endpoint}i-${index}`, ENDPOINT_RECORD);
    }
    store.put(`${STORE_KEYS.evacuation}a-1`, {});
    const snapshot = await source.snapshot(TIMEOUT_MS);
    expect(snapshot.endpoints.length).toBe(8);
    expect(snapshot.evacuated).toEqual(["a-1"]);
    expect(snapshot.document).toBeUndefined();
  });

  // Guards against large answers that never arrive over slow links. With a timeout for the read as a whole, a
  // document of 3,000 routes timed out again and again ("Platform does not answer.", detail "Timed out"):
  // running entries kept an outdated document, and newly started ones had none.
  it("reads an answer that keeps arriving for longer than the timeout", async () => {
    for (const id of ["i-1", "i-2", "i-3"]) {
      store.put(`${STORE_KEYS.endpoint}${id}`, {
        ...ENDPOINT_RECORD,
        version: "v".repeat(200),
      });
    }
    store.fault = "trickles";
    const from = performance.now();
    const snapshot = await source.snapshot(SHORT_TIMEOUT_MS);
    expect(snapshot.endpoints.length).toBe(3);
    expect(performance.now() - from).toBeGreaterThan(2 * SHORT_TIMEOUT_MS);
  });

  it("waits for changes", async () => {
    const { revision } = await source.snapshot(TIMEOUT_MS);
    const waiting = source.changes(revision, {
      wait: milliseconds(5_000),
      timeout: milliseconds(6_000),
    });
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT_RECORD);
    const answer = await waiting;
    expect(answer.kind).toBe("changes");
    if (answer.kind === "changes") {
      expect(answer.changes.changes.map(({ kind }) => kind)).toEqual([
        "endpoint",
      ]);
      expect(answer.changes.revision).toBe(1);
    }
  });

  // Guards against a timeout while the answer is already in the socket: after a pause of the process the timer
  // fired first. It logged "Platform does not answer." and read everything again on another connection.
  it("accepts an answer that came while the process was paused", async () => {
    const page = JSON.stringify({ items: [], more_pages: false, as_of: 7 });
    const server = createServer((_message, reply) => {
      reply.end(page, () => blockEventLoop(BLOCKED_MS));
    });
    const reader = new StoreSource(await listenOnLoopback(server), () => {});
    try {
      const { revision } = await reader.snapshot(
        milliseconds(BLOCKED_MS - 300),
      );
      expect(revision).toBe(7);
    } finally {
      await reader.close();
      await forceClose(server);
    }
  });

  it("reports removals and compacted changes", async () => {
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT_RECORD);
    store.remove(`${STORE_KEYS.endpoint}i-1`);
    const limits = { wait: milliseconds(0), timeout: TIMEOUT_MS };
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
    "fails in time where the store is %s, and reads again once it recovers",
    async (fault) => {
      store.fault = fault;
      await expect(source.snapshot(SHORT_TIMEOUT_MS)).rejects.toThrow();
      store.fault = "none";
      expect((await source.snapshot(TIMEOUT_MS)).revision).toBe(0);
    },
  );

  /**
   * Symptom: an entry loses all endpoints from its catalogue.
   * Sequence: one record in an unknown format is written.
   * Cause: a whole page is dropped because one item cannot be parsed.
   */
  it("reads the other records where one is invalid, and reports which", async () => {
    store.put(`${STORE_KEYS.endpoint}i-1`, { ...ENDPOINT_RECORD, address: 7 });
    store.putRaw(`${STORE_KEYS.endpoint}i-2`, "bm8=");
    store.put(`${STORE_KEYS.endpoint}i-3`, {
      ...ENDPOINT_RECORD,
      unknown: true,
    });
    const { endpoints } = await source.snapshot(TIMEOUT_MS);
    expect(endpoints.map(({ id }) => id)).toEqual(["i-3"]);
    expect(messages.join("\n")).toContain('"address"');
    expect(messages.join("\n")).toContain("i-2");
  });

  /**
   * Symptom: an endpoint is still used after another writer has overwritten its record.
   * Sequence: a watch returns an item under the endpoint's key that cannot be parsed, together with valid items.
   * Cause: unparsable items were skipped, so that the previous record stayed in use.
   */
  it("removes only the endpoint whose record became invalid", async () => {
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT_RECORD);
    store.putRaw(`${STORE_KEYS.endpoint}i-1`, "bm8=");
    store.put(`${STORE_KEYS.endpoint}i-2`, ENDPOINT_RECORD);
    const limits = { wait: milliseconds(0), timeout: TIMEOUT_MS };
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

  it("returns the epoch of each answer, also where the history is gone", async () => {
    const copy = store.copy();
    store.put(`${STORE_KEYS.endpoint}i-1`, ENDPOINT_RECORD);
    const limits = { wait: milliseconds(0), timeout: TIMEOUT_MS };
    expect(await source.snapshot(TIMEOUT_MS)).toMatchObject({
      epoch: 1,
      revision: 1,
    });
    store.restore(copy);
    expect(await source.newest(TIMEOUT_MS)).toEqual({ epoch: 2, revision: 0 });
    expect(await source.changes(0 as Revision, limits)).toMatchObject({
      changes: { epoch: 2, revision: 0 },
    });
    expect(await source.changes(1 as Revision, limits)).toEqual({
      kind: "compacted",
      epoch: 2,
    });
  });

  // Guards against a snapshot that mixes pages from before and after a restore.
  it("reads all pages from one epoch where the store is restored between two pages", async () => {
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
    const requestedAfter: string[] = [];
    const server = createServer(({ url }, reply) => {
      requestedAfter.push(
        new URL(url!, "http://store").searchParams.get("after") ?? "",
      );
      const text = pages.shift()!;
      const { epoch } = JSON.parse(text) as { epoch: number };
      reply.setHeader(HEADERS.storeEpoch, String(epoch)).end(text);
    });
    const reader = new StoreSource(await listenOnLoopback(server), () => {});
    try {
      expect(await reader.snapshot(TIMEOUT_MS)).toMatchObject({
        epoch: 2,
        revision: 7,
        evacuated: ["a-2", "b-2"],
      });
      expect(requestedAfter).toEqual([
        "",
        `${STORE_KEYS.evacuation}a-1`,
        "",
        `${STORE_KEYS.evacuation}a-2`,
      ]);
    } finally {
      await reader.close();
      await forceClose(server);
    }
  });

  it("logs each invalid key once, and few lines for thousands of them", async () => {
    for (let index = 0; index < 1_200; index++) {
      store.putRaw(`${STORE_KEYS.endpoint}foreign-${index}`, "bm8=");
    }
    await source.snapshot(TIMEOUT_MS);
    const lines = messages.length;
    expect(lines).toBeLessThan(60);
    await source.snapshot(TIMEOUT_MS);
    expect(messages.length - lines).toBeLessThan(5);
  });
});

/** Blocks the event loop, as a paused process or a busy machine does. */
function blockEventLoop(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}
