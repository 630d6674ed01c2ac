import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { Client, type Dispatcher } from "undici";
import { describe, expect, it } from "vitest";
import { isFramed } from "../index.ts";

const BODY = "5\r\nhello\r\n0\r\n\r\n";
/** Time for an answer to arrive. */
const OPEN_MS = 100;
/** Fields of a head. */
const FIELDS = [
  "content-length: 15",
  "Content-Length:\t15",
  "transfer-encoding: chunked",
  "transfer-encoding: Chunked ",
  "transfer-encoding: gzip, chunked",
  "transfer-encoding: gzip,chunked",
  "transfer-encoding: gzip\r\ntransfer-encoding: chunked",
  "transfer-encoding: chunked, chunked",
  "transfer-encoding: identity",
  "transfer-encoding: gzip",
  "transfer-encoding: chunked, gzip",
  "transfer-encoding: chunked\r\ntransfer-encoding: gzip",
  "transfer-encoding: chunked,",
  "transfer-encoding: chunked;q=1",
  "transfer-encoding: x-chunked",
  "transfer-encoding: xchunked",
  "transfer-encoding: a chunked",
  "transfer-encoding: chunked a",
  'transfer-encoding: "chunked"',
  "transfer-encoding:",
  "connection: close",
];

describe("the end of an answer's body", () => {
  // Guards against a truncated answer that counts as complete: the parser reads it up to the end of the connection,
  // while its headers are taken to mark its end.
  it.each(FIELDS)("is marked by %j as the parser sees it", async (fields) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once(
        "data",
        () => socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n${BODY}`),
      );
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const client = new Client(`http://127.0.0.1:${port}`);
    // The server keeps the connection open: a body that ends does so by its headers.
    const seen = await readAnswer(client);
    await client.destroy();
    server.close();
    expect(seen.framed).toBe(seen.ended);
  });
});

/** Reads an answer for a while; returns what its headers state, and whether its body has ended. */
function readAnswer(
  client: Client,
): Promise<{ framed: boolean; ended: boolean }> {
  return new Promise((resolve) => {
    const seen = { framed: false, ended: false };
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => {},
      onResponseStart: (_controller, _status, headers) =>
        void (seen.framed = isFramed(headers)),
      onResponseData: () => {},
      onResponseEnd: () => void (seen.ended = true),
      onResponseError: () => {},
    };
    client.dispatch({ path: "/", method: "GET" }, handler);
    setTimeout(() => resolve({ ...seen }), OPEN_MS);
  });
}
