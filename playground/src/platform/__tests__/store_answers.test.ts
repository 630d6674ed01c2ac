import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { milliseconds, type Revision } from "@sassafrasstep/core";
import { StoreSource } from "@sassafrasstep/platform";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const TIMEOUT_MS = milliseconds(5_000);
const OK_LINE = "HTTP/1.1 200 OK";
/** Reads of the store, each with an answer to it. */
const READS = [
  [
    "a snapshot",
    { items: [], more_pages: false, as_of: 7 },
    (source: StoreSource) => source.snapshot(TIMEOUT_MS),
  ],
  [
    "changes",
    { events: [], as_of: 7 },
    (source: StoreSource) =>
      source.changes(7 as Revision, {
        wait: milliseconds(0),
        timeout: TIMEOUT_MS,
      }),
  ],
  [
    "the newest position",
    { items: [], more_pages: false, as_of: 7 },
    (source: StoreSource) => source.newest(TIMEOUT_MS),
  ],
] as const;
const ENDINGS: readonly [string, (socket: Socket) => void][] = [
  ["ends", (socket) => socket.end()],
  ["is reset", (socket) => socket.resetAndDestroy()],
];

// Guards against a part of an answer, or what is none, that counts as what the store holds.
describe.each(READS)("%s of the store", (_name, answer, read) => {
  const body = JSON.stringify(answer);
  const length = `content-length: ${body.length}`;
  let server: Server;
  let respond: (socket: Socket) => void;
  let source: StoreSource;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => respond(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    source = new StoreSource(`127.0.0.1:${port}`, () => {});
  });
  afterEach(async () => {
    await source.close();
    server.close();
  });

  it.each([["a length", length], ["no length", "connection: close"]])(
    "is read if it has %s",
    async (_framing, field) => {
      respond = (socket) => socket.end(`${OK_LINE}\r\n${field}\r\n\r\n${body}`);
      await expect(read(source)).resolves.toBeDefined();
    },
  );

  describe.each([
    ["with a length", length],
    ["without a length", "connection: close"],
    ["with a coding", "transfer-encoding: x-chunked"],
  ])("%s", (_framing, field) => {
    it.each(ENDINGS)(
      "is not read in part if the connection %s",
      async (_ending, end) => {
        for (let size = 0; size < body.length; size++) {
          respond = (socket) => {
            socket.write(
              `${OK_LINE}\r\n${field}\r\n\r\n${body.slice(0, size)}`,
            );
            end(socket);
          };
          await expect(read(source)).rejects.toThrow();
        }
      },
    );
  });

  it.each([
    ["with a length", "content-length: 9"],
    ["without a length", "connection: close"],
  ])("is not found compacted in a part of an answer %s", async (_, field) => {
    respond = (socket) => {
      socket.write(`HTTP/1.1 410 Gone\r\n${field}\r\n\r\npart`);
      socket.resetAndDestroy();
    };
    await expect(read(source)).rejects.toThrow();
  });

  it.each([
    ["is of HTTP/2.0", "HTTP/2.0 200 OK"],
    ["is of RTSP/1.0", "RTSP/1.0 200 OK"],
    ["has the status 000", "HTTP/1.1 000 x"],
    ["has a blank in a field's name", `${OK_LINE}\r\nx y: 1`],
    ["has a control byte in a field's name", `${OK_LINE}\r\nx\x01y: 1`],
    ["has two lengths", `${OK_LINE}\r\ncontent-length: 1`],
  ])("is not read if its head %s", async (_case, head) => {
    respond = (socket) => socket.end(`${head}\r\n${length}\r\n\r\n${body}`);
    await expect(read(source)).rejects.toThrow();
  });
});
