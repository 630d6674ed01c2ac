import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RequestSequence } from "../index.ts";

const PIPELINED = ["/1", "/2", "/3"].map((path) =>
  `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`
).join("");

describe("requests of one connection", () => {
  const sequence = new RequestSequence();
  let server: Server;
  let handled: string[];
  let answer: (reply: ServerResponse) => void;

  beforeEach(async () => {
    handled = [];
    server = createServer(sequence.wrap((message, reply) => {
      handled.push(message.url!);
      answer(reply);
    }));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Sends three requests at once; resolves with what arrives until the server closes the connection. */
  async function pipeline(): Promise<string> {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (bytes) => text += bytes);
    socket.write(PIPELINED);
    await once(socket, "close");
    return text;
  }

  it("are handled in order, each once the one before is answered", async () => {
    let open = 0;
    answer = (reply) => {
      expect(open++).toBe(0);
      setTimeout(() => {
        open--;
        if (!sequence.hasNext(reply)) {
          reply.setHeader("connection", "close");
        }
        reply.end(reply.req.url);
      }, 10);
    };
    const text = await pipeline();
    expect(handled).toEqual(["/1", "/2", "/3"]);
    expect(text.match(/^\/\d/gm)).toEqual(handled);
  });

  // Guards against a request that runs although the answer before it closes its connection.
  it("are not handled if the answer before closes the connection", async () => {
    answer = (reply) => {
      reply.setHeader("connection", "close");
      setTimeout(() => reply.end(reply.req.url), 10);
    };
    await pipeline();
    expect(handled).toEqual(["/1"]);
  });

  it("are not handled once the connection is broken", async () => {
    answer = (reply) => void setTimeout(() => reply.destroy(), 10);
    await pipeline();
    expect(handled).toEqual(["/1"]);
  });
});
