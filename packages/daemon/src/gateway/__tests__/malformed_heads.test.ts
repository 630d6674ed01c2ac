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
describe("an answer whose head has", () => {
  let connections: ConnectionPool;
  let endpoint: RawEndpoint;

  beforeEach(() => {
    connections = new ConnectionPool();
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint.close();
  });

  describe.each(MALFORMED_HEADS)("%s", (_name, answerOf) => {
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
});
