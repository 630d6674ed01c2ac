import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { CallRefusal, RequestId } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { BodyBudget } from "../body_budget.ts";
import type { Exchange } from "../exchange.ts";
import { createIngress } from "../ingress.ts";
import type { CallerProtocol } from "../protocol.ts";

/** A fifth of it is 100,000 bytes. */
const MEMORY_BYTES = 500_000;
const PROTOCOL = {
  readHead: () => ({}),
  refusalHeaders: ({ retryAfter }: CallRefusal) => [
    "retry-after",
    String(retryAfter),
  ],
} as unknown as CallerProtocol;

// Guards against an entry that large bodies take over its memory, so that it ends with all its requests.
describe("bodies of requests", () => {
  let server: Server;
  let budget: BodyBudget;
  let exchanges: Exchange[];
  let refusals: CallRefusal[];
  const sockets: Socket[] = [];

  beforeEach(async () => {
    budget = new BodyBudget(MEMORY_BYTES);
    exchanges = [];
    refusals = [];
    server = createIngress({
      protocol: PROTOCOL,
      limits: () => undefined,
      closing: () => false,
      nextRequestId: () => `q${exchanges.length}` as RequestId,
      bodies: budget,
      onRefused: (refusal) => refusals.push(refusal),
      onRequest: (exchange) => exchanges.push(exchange),
      onCallerGone: () => {},
    }, { relays: false });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });
  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    server.close();
  });

  /** Sends the head of a request and a part of its body. */
  function send(head: string, body: string): Socket {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    socket.on("error", () => {});
    socket.write(`POST /a HTTP/1.1\r\nhost: h\r\n${head}\r\n\r\n${body}`);
    return socket;
  }

  const sized = (bytes: number, sent = bytes): Socket =>
    send(`content-length: ${bytes}`, "x".repeat(sent));

  async function answerOf(socket: Socket): Promise<string> {
    const [bytes] = await once(socket, "data");
    return String(bytes);
  }

  function answer(exchange: Exchange): void {
    exchange.respond(200, { reason: "", headers: [], body: Buffer.of() });
  }

  async function until(condition: () => boolean): Promise<void> {
    const end = performance.now() + 2_000;
    while (!condition() && performance.now() < end) {
      await new Promise((done) => setTimeout(done, 5));
    }
    expect(condition()).toBe(true);
  }

  it("are refused at once where they do not fit, with a time to return", async () => {
    sized(60_000);
    await until(() => exchanges.length === 1);
    const refused = await answerOf(sized(60_000, 10));
    expect(refused).toMatch(/^HTTP\/1\.1 503 /);
    expect(refused).toMatch(/\r\nconnection: close\r\n/i);
    const [, wait] = /\r\nretry-after: (\d+)/.exec(refused)!;
    expect(Number(wait)).toBeGreaterThanOrEqual(500);
    expect(Number(wait)).toBeLessThan(1_500);
    expect(refusals.map(({ verdict }) => verdict.kind)).toEqual(["not_run"]);
    expect(exchanges.length).toBe(1);
  });

  it("are accepted again once others are answered", async () => {
    const first = sized(60_000);
    await until(() => exchanges.length === 1);
    answer(exchanges[0]!);
    expect(await answerOf(first)).toMatch(/^HTTP\/1\.1 200 /);
    await until(() => budget.heldBytes === 0);
    sized(60_000);
    await until(() => exchanges.length === 2);
  });

  it("are given up together with their callers", async () => {
    const gone = sized(60_000, 100);
    await until(() => budget.heldBytes === 60_000);
    gone.destroy();
    await until(() => budget.heldBytes === 0);
  });

  it("are counted as they arrive where their size is not stated", async () => {
    sized(60_000);
    await until(() => exchanges.length === 1);
    const chunk = `${(60_000).toString(16)}\r\n${"x".repeat(60_000)}\r\n`;
    const refused = send("transfer-encoding: chunked", chunk);
    expect(await answerOf(refused)).toMatch(/^HTTP\/1\.1 503 /);
    await until(() => budget.heldBytes === 60_000);
  });

  it("may take more than the budget one at a time", async () => {
    sized(300_000);
    await until(() => exchanges.length === 1);
    expect(exchanges[0]!.body.length).toBe(300_000);
    expect(await answerOf(sized(10, 0))).toMatch(/^HTTP\/1\.1 503 /);
  });

  it("without bytes are always accepted", async () => {
    sized(300_000);
    await until(() => exchanges.length === 1);
    sized(0);
    await until(() => exchanges.length === 2);
  });
});
