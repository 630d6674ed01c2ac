import type { Socket } from "node:net";
import { Client, request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { createConnector, WatchedClient } from "../watched_client.ts";

// The reader of an answer had no room, so that the client had paused its parser. The connection, which
// ended the answer, ended or was reset meanwhile; the client then finishes a parser that must not be
// paused, by an assertion in a listener of the socket. The process ends, with all its streams.
describe("a client whose reader has no room", () => {
  const uncaught: unknown[] = [];
  let listeners: NodeJS.UncaughtExceptionListener[];
  let endpoint: RawEndpoint;
  let engine: Socket;
  let client: Client;

  beforeEach(async () => {
    uncaught.length = 0;
    listeners = process.listeners("uncaughtException");
    process.removeAllListeners("uncaughtException");
    process.on("uncaughtException", (error) => uncaught.push(error));
    endpoint = await listenRaw((socket, text) => {
      engine = socket;
      const framing = text.startsWith("GET /kept")
        ? "content-length: 80000"
        : "connection: close";
      socket.write(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\n`);
      socket.write(Buffer.alloc(80_000, "x"));
    });
    client = new WatchedClient(`http://${endpoint.address}`, {
      connect: createConnector(1_000),
    });
  });
  afterEach(async () => {
    client.destroy().catch(() => {});
    await endpoint.close();
    process.removeAllListeners("uncaughtException");
    listeners.forEach((listener) => process.on("uncaughtException", listener));
  });

  it.each(["end", "reset"])(
    "outlives the %s of its connection",
    async (how) => {
      const { body } = await request(`http://${endpoint.address}/`, {
        dispatcher: client,
      });
      body.on("error", () => {});
      await expect.poll(() => body.readableLength).toBeGreaterThan(65_535);
      await new Promise((resolve) => setTimeout(resolve, 50));
      if (how === "end") {
        engine.end();
      } else {
        engine.resetAndDestroy();
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
      expect(uncaught).toEqual([]);
      let size = 0;
      const read = (async () => {
        for await (const chunk of body) {
          size += (chunk as Buffer).length;
        }
      })();
      if (how === "end") {
        await read;
        expect(size).toBe(80_000);
      } else {
        await expect(read).rejects.toThrow();
      }
      expect(uncaught).toEqual([]);
    },
  );

  it("reads each answer whole on a connection that is kept", async () => {
    for (let number = 0; number < 3; number++) {
      const { body } = await request(`http://${endpoint.address}/kept`, {
        dispatcher: client,
      });
      await expect.poll(() => body.readableLength).toBeGreaterThan(65_535);
      expect((await body.text()).length).toBe(80_000);
    }
    expect(endpoint.connections).toBe(1);
  });
});
