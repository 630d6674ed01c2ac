import { describe, expect, it } from "vitest";
import { ConnectionPool } from "../connection_pool.ts";
import { attempt, endKindOf, listenRaw } from "./wire_fixture.ts";

const EVENTS = "id: 1\ndata: one\n\n";
const EVENT_STREAM = "content-type: text/event-stream\r\n";
const INTERIM = "HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n";
const HEADS = [
  ["with a length", "content-length: 5\r\n", false],
  ["in chunks", "transfer-encoding: chunked\r\n", false],
  ["that ends with its connection", "connection: close\r\n", false],
  ["of events", `${EVENT_STREAM}transfer-encoding: chunked\r\n`, true],
  ["of events that end with the connection", EVENT_STREAM, true],
] as const;

// Guards against an answer without a body, or with a part of it, that a caller takes for whole.
describe("an answer whose endpoint stops inside its head", () => {
  describe.each([
    ["", ""],
    [" after an interim response", INTERIM],
  ])("and closes%s", (_name, before) => {
    it.each(HEADS)(
      "is lost at each byte: %s",
      async (_kind, fields, streaming) => {
        const head = `${before}HTTP/1.1 200 OK\r\nx-call: c1\r\n${fields}\r\n`;
        const outcomes = await Promise.all(
          Array.from({ length: head.length }, async (_, size) => {
            const endpoint = await listenRaw((socket) =>
              socket.end(head.slice(0, size))
            );
            const connections = new ConnectionPool();
            const seen = await attempt(endpoint.address, {
              connections,
              streaming,
            }).done;
            await endpoint.close();
            return `${endKindOf(seen)} ${seen.status} ${seen.body}`;
          }),
        );
        expect(new Set(outcomes)).toEqual(new Set(["lost undefined "]));
      },
    );
  });

  it("is whole once the head and the body have arrived", async () => {
    const endpoint = await listenRaw((socket) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nx-call: c1\r\n${EVENT_STREAM}\r\n${EVENTS}`,
      )
    );
    const connections = new ConnectionPool();
    const seen = await attempt(endpoint.address, {
      connections,
      streaming: true,
    }).done;
    await endpoint.close();
    expect(endKindOf(seen)).toBe("complete");
    expect(seen.body).toBe(EVENTS);
  });
});
