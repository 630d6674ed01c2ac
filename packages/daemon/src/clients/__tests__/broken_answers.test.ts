import { type Client, request } from "undici";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { MALFORMED_HEADS } from "../../gateway/__tests__/malformed_heads.ts";
import { createConnector, ResetAwareClient } from "../index.ts";

/** Larger than the buffers of both sockets, so that a part stays queued while the endpoint reads nothing. */
const QUEUED_UPLOAD = "u".repeat(16_000_000);

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

  // Guards against what is no answer in the protocol and counts as one.
  it.each(MALFORMED_HEADS)("fails if its head has %s", async (_name, bytes) => {
    answer = (socket) => socket.end(bytes("hello"), "latin1");
    await expect(read()).rejects.toThrow();
  });

  describe.each([
    ["without a length while its request is queued", "", QUEUED_UPLOAD],
    ["without a length", "", undefined],
    ["with the coding identity", "transfer-encoding: identity", undefined],
    ["with the coding gzip", "transfer-encoding: gzip", undefined],
    ["with an unknown coding", "transfer-encoding: x-chunked", undefined],
  ])("%s", (_name, field, upload) => {
    const head = `HTTP/1.1 200 OK\r\nconnection: close\r\n${field}${
      field && "\r\n"
    }\r\n`;

    // Guards against the part of an answer that counts as a whole one.
    it("fails if the connection is reset", async () => {
      answer = (socket) => {
        socket.pause();
        socket.write(`${head}part`);
        socket.resetAndDestroy();
      };
      await expect(read(upload)).rejects.toThrow();
    });

    it("returns it if the connection ends in order", async () => {
      answer = (socket) => {
        socket.pause();
        socket.end(`${head}whole`);
      };
      expect(await read(upload)).toBe("whole");
    });
  });
});
