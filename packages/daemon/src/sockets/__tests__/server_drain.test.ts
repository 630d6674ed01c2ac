import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ServerDrain } from "../server_drain.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
/** More than the sockets on both sides take. */
const LARGE_BODY = Buffer.alloc(16_000_000, "x");

describe("a server that is closed", () => {
  let server: Server;
  let drain: ServerDrain;
  let body: Buffer;
  let clients: Socket[];

  beforeEach(async () => {
    clients = [];
    server = createServer((_message, reply) => {
      reply.setHeader("content-length", body.length);
      reply.end(body);
    });
    drain = new ServerDrain(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });
  afterEach(() => clients.forEach((client) => client.destroy()));

  const send = async (): Promise<Socket> => {
    const { port } = server.address() as AddressInfo;
    const client = connect(port, "127.0.0.1");
    clients.push(client);
    client.write(REQUEST);
    await once(client, "readable");
    return client;
  };
  const close = (): Promise<void> => {
    drain.close();
    return drain.closed;
  };
  const readAll = async (client: Socket): Promise<number> => {
    let size = 0;
    client.on("data", (chunk: Buffer) => size += chunk.length);
    await once(client, "close");
    return size;
  };

  // Guards against an answer that a stopping entry cuts off because its caller reads slowly.
  it("sends an answer that was ended and not read yet to its end", async () => {
    body = LARGE_BODY;
    const client = await send();
    const closed = close();
    const size = await readAll(client);
    expect(size).toBeGreaterThan(LARGE_BODY.length);
    await closed;
  });

  it("closes idle connections at once, and accepts no others", async () => {
    body = Buffer.from("ok");
    const client = await send();
    const { port } = server.address() as AddressInfo;
    client.resume();
    await new Promise((resolve) => setTimeout(resolve, 50));
    await Promise.all([close(), once(client, "close")]);
    const [error] = await once(connect(port, "127.0.0.1"), "error");
    expect(error.code).toBe("ECONNREFUSED");
  });
});
