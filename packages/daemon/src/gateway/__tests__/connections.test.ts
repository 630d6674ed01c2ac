import { instant } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectError, type Connection, Connections } from "../connections.ts";
import { listenRaw, type RawEndpoint } from "./wire_fixture.ts";

const NOW = instant(1_000);

describe("connections", () => {
  let endpoint: RawEndpoint;
  let connections: Connections;

  beforeEach(async () => {
    endpoint = await listenRaw(() => {});
    connections = new Connections();
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint.close();
  });

  function take(
    { limit = 4, mostIdle = Infinity, now = NOW } = {},
  ): Promise<Connection | ConnectError> {
    const { address } = endpoint;
    return new Promise((resolve) =>
      connections.take({ address, limit, mostIdle, far: false }, now, resolve)
    );
  }

  it("gives the one used last", async () => {
    const first = await take() as Connection;
    const second = await take() as Connection;
    connections.giveBack(first, NOW);
    connections.giveBack(second, NOW);
    expect(await take()).toBe(second);
    expect(connections.opened).toBe(2);
  });

  it("opens a new one where the kept ones were idle for too long", async () => {
    const kept = await take() as Connection;
    connections.giveBack(kept, NOW);
    const other = await take({ mostIdle: 500, now: instant(NOW + 501) });
    expect(other).not.toBe(kept);
  });

  it("keeps to the limit, and closes an idle one to make room", async () => {
    const first = await take({ limit: 2 }) as Connection;
    await take({ limit: 2 });
    expect(await take({ limit: 2 })).toBeInstanceOf(ConnectError);
    connections.giveBack(first, NOW);
    const fresh = await take({ limit: 2, mostIdle: 0 });
    expect(fresh).not.toBeInstanceOf(ConnectError);
    expect(first.failed).toBe(true);
  });

  it("never gives back one that failed", async () => {
    const first = await take() as Connection;
    first.close();
    connections.giveBack(first, NOW);
    expect(await take()).not.toBe(first);
  });

  // An attempt was given up while it connected, and its connection was kept without a request on it. The
  // client has not seen its socket yet, so neither its endpoint's end nor closing it ended the socket:
  // it counted as open for good, and once all that may be open were such ones, the endpoint got nothing
  // any more, with "no connection is free" as the reason.
  describe("that carried no request", () => {
    it("make room when they are closed", async () => {
      const unused = await take({ limit: 1 }) as Connection;
      connections.giveBack(unused, NOW);
      const later = instant(NOW + 1_000);
      const other = await take({ limit: 1, mostIdle: 500, now: later });
      expect(other).not.toBeInstanceOf(ConnectError);
      expect(unused.failed).toBe(true);
      await expect.poll(() => endpoint.open()).toBe(1);
    });

    it("end with the endpoint's side", async () => {
      const unused = await take() as Connection;
      connections.giveBack(unused, NOW);
      await expect.poll(() => endpoint.open()).toBe(1);
      endpoint.endAll();
      await expect.poll(() => unused.failed).toBe(true);
      await expect.poll(() => endpoint.open()).toBe(0);
      expect(await take()).not.toBe(unused);
    });
  });

  describe("to an address where nothing listens", () => {
    beforeEach(() => endpoint.close());

    it("are refused, and say so", async () => {
      expect(await take()).toMatchObject({ refused: true });
    });

    it("are found closed by a knock", async () => {
      await new Promise<void>((closed) =>
        connections.knock(endpoint.address, closed)
      );
      expect(connections.opened).toBe(1);
    });
  });

  // A process stood still while it connected. The connection stood by then, and the timer came first:
  // the endpoint counted as not reached, and its request went elsewhere.
  it("stand although the process stood still meanwhile", async () => {
    const taken = take();
    block(500);
    expect(await taken).not.toBeInstanceOf(ConnectError);
  });

  it("are not found closed by a knock where something listens", async () => {
    let closed = false;
    connections.knock(endpoint.address, () => closed = true);
    await take();
    await take();
    expect(closed).toBe(false);
  });
});

/** Holds the loop up, as a stopped process or a busy machine does. */
function block(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}
