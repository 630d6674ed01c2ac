import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectionPool } from "../connection_pool.ts";
import {
  attempt,
  endKindOf,
  listenRaw,
  type RawEndpoint,
} from "./wire_fixture.ts";

const HEAD = "HTTP/1.1 200 OK\r\nx-call: c1\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const FILLER = "a".repeat(16_384);
/** Time in which an endless answer has to be given up: the shortest time that callers give a request. */
const GIVE_UP_MS = 3_000;
/** What the buffers of a connection on loopback hold at most, beside what is read. */
const SOCKET_BUFFERS_BYTES = 12_000_000;

/** Bytes that are no part of a body: what an answer begins with, and what then follows without end. */
const ENDLESS: readonly [name: string, start: string, endless: string][] = [
  ["empty lines before the head", "", "\r\n".repeat(8_192)],
  ["a reason phrase", "HTTP/1.1 200 ", FILLER],
  ["headers", HEAD, `x-filler: ${FILLER}\r\n`],
  ["a header", `${HEAD}x-filler: `, FILLER],
  ["a header name", HEAD, FILLER],
  ["interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(500)],
  [
    "interim responses with headers",
    "",
    `HTTP/1.1 103 Early Hints\r\nx-filler: ${FILLER}\r\n\r\n`,
  ],
  ["a chunk extension", `${CHUNKED}5;x=`, FILLER],
  ["leading zeros of a chunk size", CHUNKED, "0".repeat(16_384)],
  ["trailers", `${CHUNKED}5\r\nhello\r\n0\r\n`, `x-filler: ${FILLER}\r\n`],
  ["other bytes", "", FILLER],
];

// Guards against endpoints that send bytes without end that belong to no answer. Only the deadline of the request ended
// them, after gigabytes.
describe("an answer without end", () => {
  let connections: ConnectionPool;
  let endpoint: RawEndpoint;
  let socket: Socket | undefined;

  beforeEach(() => {
    connections = new ConnectionPool();
    socket = undefined;
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint.close();
  });

  async function listen(start: string, endless: string): Promise<void> {
    endpoint = await listenRaw((accepted) => {
      socket ??= accepted;
      accepted.write(start);
      sendEndlessly(accepted, endless);
    });
  }

  describe.each([["a plain request", false], ["a stream", true]])(
    "of %s",
    (_name, streaming) => {
      it.each(ENDLESS)("with %s is given up", async (_, start, endless) => {
        await listen(start, endless);
        const { done, call } = attempt(endpoint.address, {
          connections,
          streaming,
        });
        const cancel = setTimeout(() => call.abort(), GIVE_UP_MS);
        const seen = await done;
        clearTimeout(cancel);
        expect(endKindOf(seen)).toBe("lost");
        expect(socket!.bytesWritten).toBeLessThan(SOCKET_BUFFERS_BYTES);
        await until(() => endpoint.open() === 0);
      });
    },
  );

  it("does not keep an unused connection open", async () => {
    const answer = `${HEAD}content-length: 5\r\n\r\nhello`;
    await listen(answer, "\r\n".repeat(8_192));
    const seen = await attempt(endpoint.address, { connections }).done;
    expect(endKindOf(seen)).toBe("complete");
    await until(() => endpoint.open() === 0);
    expect(socket!.bytesWritten).toBeLessThan(SOCKET_BUFFERS_BYTES);
  });

  it("in chunks of a single byte is read to its end", async () => {
    endpoint = await listenRaw((accepted) => {
      accepted.write(CHUNKED);
      accepted.write("1\r\nx\r\n".repeat(100_000));
      accepted.write("0\r\n\r\n");
    });
    const seen = await attempt(endpoint.address, { connections }).done;
    expect(endKindOf(seen)).toBe("complete");
    expect(seen.body.length).toBe(100_000);
  });
});

/** Writes as fast as the other side reads, until the connection is closed. */
function sendEndlessly(socket: Socket, text: string): void {
  if (!socket.destroyed) {
    socket.write(text, () => sendEndlessly(socket, text));
  }
}

async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + GIVE_UP_MS;
  while (!condition() && performance.now() < end) {
    await new Promise((done) => setTimeout(done, 5));
  }
  expect(condition()).toBe(true);
}
