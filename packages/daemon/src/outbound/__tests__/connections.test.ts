import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
  createOneConnection,
  createSharedConnections,
  isConnectError,
} from "../connections.ts";

const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BODY = "x".repeat(64);

let server: Server;

/** Counts connections and whole requests; `answerBytes` of the answer leave before the connection dies. */
async function startDyingServer(
  answerBytes: number,
): Promise<
  { origin: string; seen: { connections: number; requests: number } }
> {
  const seen = { connections: 0, requests: 0 };
  server = createServer((socket: Socket) => {
    seen.connections++;
    socket.on("error", () => {});
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk.toString();
      if (received.endsWith(BODY)) {
        seen.requests++;
        socket.write(ANSWER.slice(0, answerBytes), () => socket.destroy());
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    seen,
  };
}

async function send(
  origin: string,
  mayWrite: () => boolean,
): Promise<{ kind: "answered" } | { kind: "failed"; error: unknown }> {
  const client = createOneConnection(origin, mayWrite);
  try {
    const response = await client.request({
      path: "/",
      method: "POST",
      body: BODY,
    });
    await response.body.text();
    return { kind: "answered" };
  } catch (error) {
    return { kind: "failed", error };
  } finally {
    await client.destroy();
  }
}

afterEach(() => {
  server?.close();
});

describe("a connection of its own", () => {
  describe("that dies under its request", () => {
    // Symptom: one attempt in the log, two runs at the endpoint.
    // Sequence: the endpoint runs the call and the connection dies at some byte of the answer.
    // Cause: a client that reconnects by itself sends the request again.
    const bytes = Array.from({ length: ANSWER.length }, (_, index) => index);

    it.each(bytes)(
      "never sends it again after %i bytes of the answer",
      async (answerBytes) => {
        const { origin, seen } = await startDyingServer(answerBytes);
        const result = await send(origin, () => true);
        expect(result.kind).toBe("failed");
        expect(isConnectError((result as { error: unknown }).error)).toBe(
          false,
        );
        expect(seen).toEqual({ connections: 1, requests: 1 });
      },
    );

    it("takes a whole answer although the connection then dies", async () => {
      const { origin } = await startDyingServer(ANSWER.length);
      expect((await send(origin, () => true)).kind).toBe("answered");
    });
  });

  describe("before the first byte", () => {
    it("writes nothing when the attempt is withdrawn", async () => {
      const { origin, seen } = await startDyingServer(ANSWER.length);
      const result = await send(origin, () => false);
      expect(isConnectError((result as { error: unknown }).error)).toBe(true);
      expect(seen.requests).toBe(0);
    });

    it("tells a refused connection from a lost request", async () => {
      const { origin } = await startDyingServer(0);
      await new Promise<void>((resolve) => server.close(() => resolve()));
      const result = await send(origin, () => true);
      expect(isConnectError((result as { error: unknown }).error)).toBe(true);
    });
  });
});

describe("kept connections", () => {
  it("tell a refused connection from a lost request", async () => {
    // A look at each new connection took one that never came about for one that stands, and threw where
    // nobody caught it: one endpoint that refused connections ended the entry.
    const { origin } = await startDyingServer(0);
    await new Promise<void>((resolve) => server.close(() => resolve()));
    const shared = createSharedConnections();
    const failed = await shared.request({ origin, path: "/", method: "GET" })
      .catch((error: unknown) => error);
    expect(isConnectError(failed)).toBe(true);
    await shared.destroy();
  });
});
