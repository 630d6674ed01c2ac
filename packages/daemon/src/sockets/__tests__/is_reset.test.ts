import { once } from "node:events";
import { type AddressInfo, createServer, Socket } from "node:net";
import { describe, expect, it } from "vitest";
import { isReset } from "../index.ts";

/** Larger than the buffers of both sockets, so that a part stays queued while the peer reads nothing. */
const QUEUED_BYTES = 16_000_000;

/** Sends a request to a peer that reads nothing; returns whether the connection is found reset at its end. */
async function findsReset(
  requestBytes: number,
  end: (peer: Socket) => void,
): Promise<boolean> {
  const server = createServer({ pauseOnConnect: true }, (peer) => {
    peer.on("error", () => {});
    // The request has filled the buffers by then.
    setTimeout(() => {
      peer.write("answer");
      end(peer);
    }, 20);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = new Socket({ allowHalfOpen: true });
  socket.on("error", () => {});
  socket.connect(port, "127.0.0.1");
  await once(socket, "connect");
  socket.write(Buffer.alloc(requestBytes));
  socket.resume();
  await once(socket, "end");
  const result = isReset(socket);
  socket.destroy();
  server.close();
  return result;
}

// Guards against a truncated answer that counts as complete, and against a whole one that does not.
describe("a connection that ends", () => {
  describe.each([
    ["with its request sent", 100],
    ["with its request queued", QUEUED_BYTES],
  ])("%s", (_name, requestBytes) => {
    it("is found reset if its peer resets it", async () => {
      expect(
        await findsReset(requestBytes, (peer) => peer.resetAndDestroy()),
      ).toBe(true);
    });

    it("is found reset if its peer closes its side and resets it", async () => {
      const endAndReset = (peer: Socket): void => {
        peer.end();
        setImmediate(() => peer.resetAndDestroy());
      };
      expect(await findsReset(requestBytes, endAndReset)).toBe(true);
    });

    it("is not found reset if its peer closes its side", async () => {
      expect(await findsReset(requestBytes, (peer) => void peer.end()))
        .toBe(false);
    });
  });
});
