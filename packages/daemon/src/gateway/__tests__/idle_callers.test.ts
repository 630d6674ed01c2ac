import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { RequestId } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createIngress } from "../ingress.ts";

const IDLE_MS = 300;
/** The server adds a second to it. */
const BEYOND_MS = 1_500;
const REQUEST = "GET /a HTTP/1.1\r\nhost: h\r\n\r\n";

/** Holds the loop up, as a stopped process or a busy machine does. */
function block(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}

// A caller sent its next request on a kept connection while the process stood still. The connection's
// idle time had run out when the process went on, and it was closed with the request unread in it: the
// caller got a reset, and could not know that nothing had run.
describe("a caller's idle connection", () => {
  let server: Server;
  let socket: Socket;
  let answers: number;

  beforeEach(async () => {
    let requests = 0;
    answers = 0;
    server = createIngress({
      protocol: { readHead: () => ({}) } as never,
      limits: () => undefined,
      closing: () => false,
      nextRequestId: () => `q${requests++}` as RequestId,
      open: (exchange) =>
        exchange.answer(200, { reason: "", headers: [], body: Buffer.of() }),
      gone: () => {},
    }, { relays: false });
    server.keepAliveTimeout = IDLE_MS;
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      answers += bytes.toString("latin1").split("HTTP/1.1 200").length - 1;
    });
    socket.write(REQUEST);
    await once(socket, "data");
  });
  afterEach(() => {
    socket.destroy();
    server.close();
  });

  it("stays open where its next request came while the process stood still", async () => {
    setImmediate(() => {
      socket.write(REQUEST);
      block(IDLE_MS + BEYOND_MS);
    });
    await Promise.race([once(socket, "data"), once(socket, "close")]);
    expect(answers).toBe(2);
  });

  it("is closed after its time where nothing came", async () => {
    await once(socket, "close");
    expect(answers).toBe(1);
  });
});
