import type { Socket } from "node:net";
import type { Revision } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { MALFORMED_HEADS } from "../../gateway/__tests__/malformed_heads.ts";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { copyCatalogue } from "../../gateway/snapshot_message.ts";
import { copyConfiguration, Credentials, PeerClients } from "../index.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";
/** Readers of peers' answers, each with an answer of a peer. */
const READERS = [
  [
    "a copy of the configuration",
    { kind: "whole", revision: 7, text: "[deployment]\nname = demo\n" },
    async (address: string): Promise<unknown> => {
      const peers = new PeerClients(
        new Credentials("secret-of-the-test-0", "wire"),
      );
      try {
        return await copyConfiguration(
          peers.at(`http://${address}`),
          0 as Revision,
        );
      } finally {
        await peers.close();
      }
    },
  ],
  [
    "a copy of the catalogue",
    { revision: 7, endpoints: [], evacuated: ["a-1"] },
    (address: string): Promise<unknown> =>
      copyCatalogue(address, {
        signal: AbortSignal.timeout(1_000),
        onData: () => {},
      }),
  ],
] as const;
const ENDINGS: readonly [string, (socket: Socket) => void][] = [
  ["ends", (socket) => socket.end()],
  ["is reset", (socket) => socket.resetAndDestroy()],
];

// Guards against a part of an answer, or what is none, that counts as what a peer knows.
describe.each(READERS)("%s", (_name, data, read) => {
  const body = JSON.stringify({ result: { data } });
  let peer: RawEndpoint;
  let answer: RawAnswer;

  beforeEach(async () => {
    peer = await listenRaw((socket, text) => answer(socket, text));
  });
  afterEach(() => peer.close());

  it("is read", async () => {
    answer = (socket) =>
      socket.write(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`);
    expect(await read(peer.address)).toMatchObject(data);
  });

  describe.each([
    ["with a length", `content-length: ${body.length}`],
    ["without a length", "connection: close"],
    ["with a coding", "transfer-encoding: x-chunked"],
  ])("%s", (_framing, field) => {
    it.each(ENDINGS)(
      "is not read in part if the connection %s",
      async (_ending, end) => {
        for (let size = 0; size < body.length; size++) {
          answer = (socket) => {
            socket.write(`${HEAD}${field}\r\n\r\n${body.slice(0, size)}`);
            end(socket);
          };
          await expect(read(peer.address)).rejects.toThrow();
        }
      },
    );
  });

  it.each(MALFORMED_HEADS)(
    "is not read if its head has %s",
    async (_case, answerOf) => {
      answer = (socket) => socket.end(answerOf(body), "latin1");
      await expect(read(peer.address)).rejects.toThrow();
    },
  );
});
