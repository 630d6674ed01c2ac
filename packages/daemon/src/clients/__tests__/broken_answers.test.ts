import { type Client, request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { createConnector, ResetAwareClient } from "../index.ts";

/** Larger than the buffers of both sockets, so that a part stays queued while the endpoint reads nothing. */
const QUEUED_UPLOAD = "u".repeat(16_000_000);
const HEAD = "HTTP/1.1 200 OK\r\n";

describe("a client that gets an answer", () => {
  let endpoint: RawEndpoint;
  let answer: RawAnswer;
  let client: Client;

  beforeEach(async () => {
    endpoint = await listenRaw((socket, text) => answer(socket, text));
    client = new ResetAwareClient(`http://${endpoint.address}`, {
      connect: createConnector(1_000),
    });
  });
  afterEach(async () => {
    client.destroy().catch(() => {});
    await endpoint.close();
  });

  async function read(upload?: string): Promise<string> {
    const { body } = await request(`http://${endpoint.address}/`, {
      method: upload === undefined ? "GET" : "POST",
      body: upload ?? null,
      dispatcher: client,
    });
    return await body.text();
  }

  describe("without a length while its request is queued", () => {
    // Guards against the part of an answer that counts as a whole one.
    it("fails if the connection is reset", async () => {
      answer = (socket) => {
        socket.pause();
        socket.write(`${HEAD}connection: close\r\n\r\npart`);
        socket.resetAndDestroy();
      };
      await expect(read(QUEUED_UPLOAD)).rejects.toThrow();
    });

    it("returns it if the connection ends in order", async () => {
      answer = (socket) => {
        socket.pause();
        socket.end(`${HEAD}connection: close\r\n\r\nwhole`);
      };
      expect(await read(QUEUED_UPLOAD)).toBe("whole");
    });
  });
});
