import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { listenRaw } from "../../gateway/__tests__/wire_fixture.ts";
import {
  createSharedAgent,
  createSingleUseClient,
  isConnectError,
} from "../connections.ts";

const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BODY = "x".repeat(64);

let server: Server;

/** Counts connections and complete requests, and closes each connection after `answerBytes` of the answer. */
async function startBreakingServer(
  answerBytes: number,
): Promise<
  { origin: string; counts: { connections: number; requests: number } }
> {
  const counts = { connections: 0, requests: 0 };
  server = createServer((socket: Socket) => {
    counts.connections++;
    socket.on("error", () => {});
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk.toString();
      if (received.endsWith(BODY)) {
        counts.requests++;
        socket.write(ANSWER.slice(0, answerBytes), () => socket.destroy());
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    counts,
  };
}

async function send(
  origin: string,
  mayWrite: () => boolean,
): Promise<{ kind: "answered" } | { kind: "failed"; error: unknown }> {
  const client = createSingleUseClient(origin, {
    mayWrite,
    nameHeader: "x-request-id",
  });
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

describe("a single-use connection", () => {
  describe("that breaks during its request", () => {
    // Guards against two runs at the endpoint for one attempt in the log. The endpoint runs the call and the
    // connection breaks at some byte of the answer; a client that reconnects by itself would send the
    // request again.
    const bytes = Array.from({ length: ANSWER.length }, (_, index) => index);

    it.each(bytes)(
      "never sends the request again after %i bytes of the answer",
      async (answerBytes) => {
        const { origin, counts } = await startBreakingServer(answerBytes);
        const result = await send(origin, () => true);
        expect(result.kind).toBe("failed");
        expect(isConnectError((result as { error: unknown }).error)).toBe(
          false,
        );
        expect(counts).toEqual({ connections: 1, requests: 1 });
      },
    );

    it("accepts a complete answer after which the connection breaks", async () => {
      const { origin } = await startBreakingServer(ANSWER.length);
      expect((await send(origin, () => true)).kind).toBe("answered");
    });
  });

  describe("before the first byte", () => {
    it("writes nothing when the attempt is withdrawn", async () => {
      const { origin, counts } = await startBreakingServer(ANSWER.length);
      const result = await send(origin, () => false);
      expect(isConnectError((result as { error: unknown }).error)).toBe(true);
      expect(counts.requests).toBe(0);
    });

    it("distinguishes a refused connection from a lost request", async () => {
      const { origin } = await startBreakingServer(0);
      await new Promise<void>((resolve) => server.close(() => resolve()));
      const result = await send(origin, () => true);
      expect(isConnectError((result as { error: unknown }).error)).toBe(true);
    });
  });
});

describe("an answer on a connection's first request", () => {
  /** Sends a request named `n1-0000-2.1`, whose answer has the given id; returns the answer's status, if any. */
  async function statusFor(id: string): Promise<number | undefined> {
    const endpoint = await listenRaw((socket) => {
      socket.write(
        `HTTP/1.1 503 Refused\r\nx-request-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
      );
    });
    const client = createSingleUseClient(`http://${endpoint.address}`, {
      mayWrite: () => true,
      nameHeader: "x-request-id",
    });
    const response = await client.request({
      path: "/",
      method: "POST",
      headers: { "x-request-id": "n1-0000-2.1" },
    }).catch(() => undefined);
    await client.destroy();
    await endpoint.close();
    return response?.statusCode;
  }

  // Guards against the answer of another attempt that is taken for the request's own.
  it("is lost if it names another attempt", async () => {
    expect(await statusFor("n1-0000-1.1")).toBeUndefined();
  });

  it.each(["n1-0000-2.1", "7", "0f8fad5b-d9cb-469f-a165-70867728950e"])(
    "is accepted if it names the attempt or has an id of the endpoint's own: %s",
    async (id) => {
      expect(await statusFor(id)).toBe(503);
    },
  );
});

describe("shared connections", () => {
  it("distinguish a refused connection from a lost request", async () => {
    // Guards against an entry that crashes when an endpoint refuses connections. The callback that watches
    // new connections treated a failed one as established and threw an uncaught error.
    const { origin } = await startBreakingServer(0);
    await new Promise<void>((resolve) => server.close(() => resolve()));
    const shared = createSharedAgent("x-request-id");
    const failed = await shared.request({ origin, path: "/", method: "GET" })
      .catch((error: unknown) => error);
    expect(isConnectError(failed)).toBe(true);
    await shared.destroy();
  });
});
