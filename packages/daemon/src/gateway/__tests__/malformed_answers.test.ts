import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectionPool } from "../connection_pool.ts";
import { MALFORMED_HEADS } from "./malformed_heads.ts";
import {
  attempt,
  endKindOf,
  listenRaw,
  type RawEndpoint,
} from "./wire_fixture.ts";

// Guards against what is no answer in the protocol and reaches a caller as one.
describe("an answer", () => {
  let connections: ConnectionPool;
  let endpoint: RawEndpoint;

  beforeEach(() => {
    connections = new ConnectionPool();
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint.close();
  });

  describe.each(MALFORMED_HEADS)("whose head has %s", (_name, answerOf) => {
    it.each([["a plain one", false], ["a stream", true]])(
      "is lost where it should be %s",
      async (_kind, streaming) => {
        endpoint = await listenRaw((socket) =>
          socket.end(answerOf("hello", ["x-call: c1"]), "latin1")
        );
        const seen = await attempt(endpoint.address, {
          connections,
          streaming,
        }).done;
        expect(endKindOf(seen)).toBe("lost");
        expect(seen).toMatchObject({ status: undefined, body: "" });
      },
    );
  });

  describe("in chunks", () => {
    const head =
      "HTTP/1.1 200 OK\r\nx-call: c1\r\ntransfer-encoding: chunked\r\n\r\n";
    const end = "0\r\n\r\n";

    it.each([
      ["a blank after a size", `5 \r\nhello\r\n${end}`],
      ["a blank before a size", ` 5\r\nhello\r\n${end}`],
      ["a prefix of a size", `0x5\r\nhello\r\n${end}`],
      ["a sign of a size", `+5\r\nhello\r\n${end}`],
      ["a size that is too large", `10000000000000005\r\nhello\r\n${end}`],
      ["no size", `\r\nhello\r\n${end}`],
      ["a size that is no number", `g\r\nhello\r\n${end}`],
      ["line feeds alone", "5\nhello\n0\n\n"],
      ["a chunk that is longer than its size", `4\r\nhello\r\n${end}`],
      ["a chunk that is shorter than its size", `6\r\nhello\r\n${end}`],
      ["a blank in the name of a trailer", "5\r\nhello\r\n0\r\nx y: 1\r\n\r\n"],
      ["a control byte in it", "5\r\nhello\r\n0\r\nx\x01y: 1\r\n\r\n"],
      ["no line after the last chunk", "5\r\nhello\r\n0\r\n"],
    ])("is lost if it has %s", async (_name, chunks) => {
      endpoint = await listenRaw((socket) => socket.end(head + chunks));
      const seen = await attempt(endpoint.address, { connections }).done;
      expect(endKindOf(seen)).toBe("lost");
      expect(seen.body).toBe("");
    });
  });
});
