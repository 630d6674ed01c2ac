import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { copyCatalogue } from "../../gateway/snapshot_message.ts";
import { readJson } from "../index.ts";

const MEBIBYTE = 1_048_576;
const LIMIT_MEBIBYTES = 32;
const BLANKS = Buffer.alloc(MEBIBYTE, " ");

describe("a JSON body", () => {
  let server: Server | undefined;
  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  it("is read up to its limit", async () => {
    const body = Array.from({ length: LIMIT_MEBIBYTES - 1 }, () => BLANKS);
    expect(await readJson([...body, Buffer.from("[1]")], () => {}))
      .toEqual([1]);
  });

  // Guards against a server that fills the memory with a body without end.
  it("without end is given up", async () => {
    let sent = 0;
    function* endless(): Generator<Buffer> {
      for (; sent < 4 * LIMIT_MEBIBYTES; sent++) {
        yield BLANKS;
      }
    }
    await expect(readJson(endless(), () => {})).rejects.toThrow("32 MiB");
    expect(sent).toBeLessThanOrEqual(LIMIT_MEBIBYTES);
  });

  it("without end of a peer's catalogue is given up and its connection closed", async () => {
    let sent = 0;
    const closed = new Promise<void>((resolve) => {
      server = createServer((_message, reply) => {
        reply.on("close", resolve);
        const send = (): void => {
          if (!reply.destroyed && sent < 4 * LIMIT_MEBIBYTES) {
            sent++;
            reply.write(BLANKS, () => setImmediate(send));
          }
        };
        send();
      });
    });
    const address = await listen(server!);
    const { signal } = new AbortController();
    await expect(copyCatalogue(address, { signal, onData: () => {} }))
      .rejects.toThrow("32 MiB");
    await closed;
    expect(sent).toBeLessThan(2 * LIMIT_MEBIBYTES);
  });
});

async function listen(server: Server): Promise<string> {
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
