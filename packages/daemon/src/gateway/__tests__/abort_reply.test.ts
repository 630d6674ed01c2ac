import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, expect, it } from "vitest";
import { isReset } from "../../sockets/index.ts";
import { abortReply } from "../abort_reply.ts";

/** More than the buffers of both sockets hold. */
const UNREAD_BYTES = 32_000_000;
/** How long the caller reads nothing: longer than an aborted answer is kept for it. */
const PAUSE_MS = 5_500;

describe("an answer that is aborted", () => {
  // Guards against a part of an answer that looks complete: that of a caller without support for chunks ends with its
  // connection, which was closed in order for a caller that did not read.
  it("is seen to be incomplete by a caller that reads late and knows no chunks", async () => {
    const server = createServer((_message, reply) => {
      reply.on("error", () => {});
      reply.write(Buffer.alloc(UNREAD_BYTES, "a"));
      abortReply(reply);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    const wasReset = new Promise<boolean>((resolve) => {
      caller.once("end", () => resolve(isReset(caller)));
      caller.on("error", () => resolve(true));
    });
    caller.write("GET / HTTP/1.0\r\n\r\n");
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    caller.resume();
    expect(await wasReset).toBe(true);
    caller.destroy();
    server.close();
  });
});
