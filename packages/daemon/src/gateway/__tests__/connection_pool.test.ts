import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { instant } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  ConnectError,
  type Connection,
  ConnectionPool,
} from "../connection_pool.ts";
import { listenRaw, type RawEndpoint } from "./wire_fixture.ts";

const NOW = instant(1_000);

describe("connections", () => {
  let endpoint: RawEndpoint;
  let connections: ConnectionPool;

  beforeEach(async () => {
    endpoint = await listenRaw(() => {});
    connections = new ConnectionPool();
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint.close();
  });

  function acquire(
    { limit = 4, maxIdleTime = Infinity, now = NOW } = {},
  ): Promise<Connection | ConnectError> {
    const { address } = endpoint;
    return new Promise((resolve) =>
      connections.acquire(
        { address, limit, maxIdleTime, crossRegion: false },
        now,
        resolve,
      )
    );
  }

  it("reuses the most recently used one", async () => {
    const first = await acquire() as Connection;
    const second = await acquire() as Connection;
    connections.release(first, NOW);
    connections.release(second, NOW);
    expect(await acquire()).toBe(second);
    expect(connections.opened).toBe(2);
  });

  it("opens a new one if the existing ones were idle for too long", async () => {
    const kept = await acquire() as Connection;
    connections.release(kept, NOW);
    const other = await acquire({ maxIdleTime: 500, now: instant(NOW + 501) });
    expect(other).not.toBe(kept);
  });

  // Guards against a request that finds no place at its endpoint because a closed connection still counts.
  it("makes room as soon as one is closed", async () => {
    const first = await acquire({ limit: 1 }) as Connection;
    first.close();
    expect(await acquire({ limit: 1 })).not.toBeInstanceOf(ConnectError);
  });

  it("enforces the limit and closes an idle one to make room", async () => {
    const first = await acquire({ limit: 2 }) as Connection;
    await acquire({ limit: 2 });
    expect(await acquire({ limit: 2 })).toBeInstanceOf(ConnectError);
    connections.release(first, NOW);
    const fresh = await acquire({ limit: 2, maxIdleTime: 0 });
    expect(fresh).not.toBeInstanceOf(ConnectError);
    expect(first.failed).toBe(true);
  });

  it("never reuses one that failed", async () => {
    const first = await acquire() as Connection;
    first.close();
    connections.release(first, NOW);
    expect(await acquire()).not.toBe(first);
  });

  // An endpoint's record had a port over 65535. Connecting threw at once, and the process ended with all its requests.
  it.each(["127.0.0.1:80800", "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", ""])(
    "to %j fail without a connection",
    (address) => {
      const results: unknown[] = [];
      connections.acquire(
        { address, limit: 4, maxIdleTime: Infinity, crossRegion: false },
        NOW,
        (result) => results.push(result),
      );
      connections.probe(address, () => results.push("refused"));
      expect(results).toEqual([expect.any(ConnectError)]);
      expect(connections.opened).toBe(0);
    },
  );

  // An attempt that is aborted while it connects leaves a connection that never carried a request. Its client
  // has not received the socket yet, so neither the endpoint's end nor closing the client closed the socket.
  // Such connections counted as open forever, and once they reached the limit, the endpoint received no more
  // requests because no connection was free.
  describe("that carried no request", () => {
    it("make room when they are evicted", async () => {
      const unused = await acquire({ limit: 1 }) as Connection;
      connections.release(unused, NOW);
      const later = instant(NOW + 1_000);
      const other = await acquire({ limit: 1, maxIdleTime: 500, now: later });
      expect(other).not.toBeInstanceOf(ConnectError);
      expect(unused.failed).toBe(true);
      await expect.poll(() => endpoint.open()).toBe(1);
    });

    it("close when the endpoint closes its side", async () => {
      const unused = await acquire() as Connection;
      connections.release(unused, NOW);
      await expect.poll(() => endpoint.open()).toBe(1);
      endpoint.endAll();
      await expect.poll(() => unused.failed).toBe(true);
      await expect.poll(() => endpoint.open()).toBe(0);
      expect(await acquire()).not.toBe(unused);
    });
  });

  describe("to an address where nothing listens", () => {
    beforeEach(() => endpoint.close());

    it("fail and report the refusal", async () => {
      expect(await acquire()).toMatchObject({ refused: true });
    });

    it("are reported by a probe", async () => {
      await new Promise<void>((closed) =>
        connections.probe(endpoint.address, closed)
      );
      expect(connections.opened).toBe(1);
    });
  });

  // When the process was paused while connecting, the connection was established by the time it continued,
  // but the timeout fired first: the endpoint counted as unreachable, and its request went to another one.
  it("are established although the process was paused meanwhile", async () => {
    const acquired = acquire();
    blockEventLoop(500);
    expect(await acquired).not.toBeInstanceOf(ConnectError);
  });

  // Guards against an entry whose memory fills with the bodies of requests that were answered long ago.
  it("keep nothing of the request that opened them", async () => {
    const openWithBody = async (): Promise<[Connection, WeakRef<Buffer>]> => {
      const body = Buffer.alloc(1_000);
      const connection = await new Promise<Connection>((resolve) =>
        connections.acquire(
          {
            address: endpoint.address,
            limit: 4,
            maxIdleTime: Infinity,
            crossRegion: false,
          },
          NOW,
          (result) => {
            if (body.length > 0) {
              resolve(result as Connection);
            }
          },
        )
      );
      return [connection, new WeakRef(body)];
    };
    const [connection, body] = await openWithBody();
    await new Promise((resolve) => setImmediate(resolve));
    setFlagsFromString("--expose-gc");
    runInNewContext("gc")();
    expect(body.deref()).toBeUndefined();
    expect(connection.failed).toBe(false);
  });

  it("are not reported as refused by a probe if something listens", async () => {
    let closed = false;
    connections.probe(endpoint.address, () => closed = true);
    await acquire();
    await acquire();
    expect(closed).toBe(false);
  });
});

/** Blocks the event loop, as a paused process or a busy machine does. */
function blockEventLoop(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}
