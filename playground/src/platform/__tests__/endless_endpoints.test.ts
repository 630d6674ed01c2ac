import { once } from "node:events";
import { readFileSync } from "node:fs";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { HEADERS, STORE_KEYS } from "@sassafrasstep/platform";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, PlatformFleet } from "../index.ts";

const MEGABYTE = 1_000_000;
const REQUESTS = 4;
/** Limit of the time until an answer that does not wait for the deadline of a request, 3 s. */
const ANSWER_MS = 2_000;
const DEADLINE_MS = 3_000;
/** Memory that the entry may need beside that of its start. */
const EXTRA_MEMORY_BYTES = 120 * MEGABYTE;
const CALL_ID = new RegExp(`^${HEADERS.callId}: (.*)\\r$`, "im");
const FILLER = "a".repeat(16_384);

interface Endless {
  readonly name: string;
  readonly start: (call: string) => string;
  readonly endless: string;
}

const sealed = (call: string): string =>
  `HTTP/1.1 200 OK\r\n${HEADERS.callId}: ${call}\r\n${HEADERS.seal}: s\r\n`;
/** Bytes that are no answer. */
const NO_ANSWER: readonly Endless[] = [
  { name: "empty lines", start: () => "", endless: "\r\n".repeat(8_192) },
  {
    name: "headers",
    start: () => "HTTP/1.1 200 OK\r\n",
    endless: `x-filler: ${FILLER}\r\n`,
  },
  {
    name: "interim responses",
    start: () => "",
    endless: "HTTP/1.1 102 Processing\r\n\r\n".repeat(500),
  },
  {
    name: "a chunk extension",
    start: (call) => `${sealed(call)}transfer-encoding: chunked\r\n\r\n5;x=`,
    endless: FILLER,
  },
  {
    name: "a body without a seal",
    start: () => "HTTP/1.1 200 OK\r\n\r\n",
    endless: FILLER,
  },
];

/** Bodies that may be those of an answer. */
const ANSWERS: readonly Endless[] = [
  {
    name: "a sealed body",
    start: (call) => `${sealed(call)}\r\n`,
    endless: FILLER,
  },
  {
    name: "the body of a failure",
    start: () => "HTTP/1.1 500 Oops\r\n\r\n",
    endless: FILLER,
  },
];

// Guards against an entry that reads without bound from an endpoint, in time, memory or bytes.
describe("an endpoint that sends without end", () => {
  const fleet = new PlatformFleet({ endpoints: [] });
  let server: Server;
  let address: string;
  let sent: Endless;
  const sockets = new Set<Socket>();

  beforeAll(async () => {
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => sockets.delete(socket));
      socket.once("data", (bytes) => {
        const call = CALL_ID.exec(String(bytes))?.[1] ?? "";
        socket.write(sent.start(call));
        sendEndlessly(socket, sent.endless);
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    await fleet.prepare();
    publish("plain");
    await fleet.start(1);
  });
  afterEach(() => sockets.forEach((socket) => socket.destroy()));
  afterAll(async () => {
    await fleet.close();
    server.close();
  });

  function publish(service: string): void {
    fleet.store.put(`${STORE_KEYS.endpoint}i-endless`, {
      service,
      address,
      zone: "a-1",
      version: "v1",
      slots: 64,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
    });
  }

  /** Bytes that the entry has read since its start, and the most memory that it has used. */
  function usage(): { read: number; memory: number } {
    const { pid } = fleet.entries[0]!.process;
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
      read: Number(/^rchar: (\d+)$/m.exec(io)![1]),
      memory: 1_024 * Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]),
    };
  }

  it.each(NO_ANSWER)("$name costs a request no more than a failure", async (
    endless,
  ) => {
    sent = endless;
    const before = usage();
    const from = performance.now();
    const statuses = await Promise.all(
      Array.from({ length: REQUESTS }, async (_, index) => {
        const call = `${endless.name.replaceAll(/\W/g, "-")}-${index}`;
        const body = "badge";
        const path = "/once/x";
        const { callers } = fleet.entries[0]!;
        return (await callPlatform(callers, { path, call, body })).status;
      }),
    );
    expect(performance.now() - from).toBeLessThan(ANSWER_MS);
    // Once it is suspected, the endpoint gets no request; refusals of those are true.
    statuses.forEach((status) => expect([502, 503]).toContain(status));
    const { read, memory } = usage();
    expect(read - before.read).toBeLessThan(REQUESTS * MEGABYTE);
    expect(memory - before.memory).toBeLessThan(EXTRA_MEMORY_BYTES);
    await new Promise((done) => setTimeout(done, 600));
  });

  it.each(ANSWERS)(
    "$name ends with the deadline, at the pace of its reader",
    async (
      endless,
    ) => {
      sent = endless;
      const before = usage();
      const from = performance.now();
      const [host, port] = fleet.entries[0]!.callers.split(":");
      const caller = connect({ host: host!, port: Number(port) });
      caller.on("error", () => {});
      caller.write(
        `GET /once/x HTTP/1.1\r\nhost: kiosk.example\r\n` +
          `${HEADERS.callId}: slow\r\n${HEADERS.timeLeft}: ${DEADLINE_MS}\r\n\r\n`,
      );
      const [first] = await once(caller, "data");
      expect(String(first)).toMatch(/^HTTP\/1\.1 [25]00/);
      caller.pause();
      await new Promise((done) => setTimeout(done, DEADLINE_MS / 2));
      const { read, memory } = usage();
      expect(read - before.read).toBeLessThan(24 * MEGABYTE);
      expect(memory - before.memory).toBeLessThan(EXTRA_MEMORY_BYTES);
      caller.resume();
      await once(caller, "close");
      const elapsed = performance.now() - from;
      expect(elapsed).toBeGreaterThan(DEADLINE_MS - 200);
      expect(elapsed).toBeLessThan(DEADLINE_MS + 1_000);
      expect(usage().memory - before.memory).toBeLessThan(EXTRA_MEMORY_BYTES);
    },
  );
});

/** Writes as fast as the other side reads, until the connection is closed. */
function sendEndlessly(socket: Socket, text: string): void {
  if (!socket.destroyed) {
    socket.write(text, () => setImmediate(() => sendEndlessly(socket, text)));
  }
}
