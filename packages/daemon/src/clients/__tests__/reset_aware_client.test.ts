import type { Socket } from "node:net";
import { Client, request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { createConnector, ResetAwareClient } from "../reset_aware_client.ts";

// Guards against a crash of the process with all its streams. While the reader's buffer of an answer is full,
// the client has paused its parser. If the connection ends or is reset in that state, which ends an answer
// without a length, the client finishes the paused parser, and an assertion in a socket listener fails.
describe("a client whose reader has a full buffer", () => {
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
    client = new ResetAwareClient(`http://${endpoint.address}`, {
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
    "survives the %s of its connection",
    async (ending) => {
      const { body } = await request(`http://${endpoint.address}/`, {
        dispatcher: client,
      });
      body.on("error", () => {});
      await expect.poll(() => body.readableLength).toBeGreaterThan(65_535);
      await new Promise((resolve) => setTimeout(resolve, 50));
      if (ending === "end") {
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
      if (ending === "end") {
        await read;
        expect(size).toBe(80_000);
      } else {
        await expect(read).rejects.toThrow();
      }
      expect(uncaught).toEqual([]);
    },
  );

  it("reads each answer completely on a kept-alive connection", async () => {
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
