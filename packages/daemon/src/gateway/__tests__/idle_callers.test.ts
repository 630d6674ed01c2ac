import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { RequestId } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { BodyBudget } from "../body_budget.ts";
import { createIngress } from "../ingress.ts";

const IDLE_MS = 300;
/** Exceeds the second that the server adds to the idle time. */
const BEYOND_MS = 1_500;
const REQUEST = "GET /a HTTP/1.1\r\nhost: h\r\n\r\n";

/** Blocks the event loop, as a paused process or a busy machine does. */
function blockEventLoop(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}

// A caller sent its next request on an idle connection while the process was paused. When the process
// continued, the idle timeout had expired, and the connection was closed with the request unread. The caller
// received a reset and could not know that the request had not been executed.
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
      onRequest: (exchange) =>
        exchange.respond(200, { reason: "", headers: [], body: Buffer.of() }),
      onCallerGone: () => {},
      bodies: new BodyBudget(Infinity),
      onRefused: () => {},
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

  it("stays open if its next request arrived while the process was paused", async () => {
    setImmediate(() => {
      socket.write(REQUEST);
      blockEventLoop(IDLE_MS + BEYOND_MS);
    });
    await Promise.race([once(socket, "data"), once(socket, "close")]);
    expect(answers).toBe(2);
  });

  it("is closed after the idle timeout if no request arrived", async () => {
    await once(socket, "close");
    expect(answers).toBe(1);
  });
});
