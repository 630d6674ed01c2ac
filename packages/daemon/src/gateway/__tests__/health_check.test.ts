import {
  type EndpointId,
  type GatewayEvent,
  instant,
  milliseconds,
} from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectionPool } from "../connection_pool.ts";
import { HealthCheck } from "../health_check.ts";
import type { EndpointProtocol } from "../protocol.ts";
import { MALFORMED_HEADS } from "./malformed_heads.ts";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
  TEST_PROTOCOL,
} from "./wire_fixture.ts";

const WAIT_MS = 600;
/** Time in which an answer arrives and is read. */
const SHORT_WAIT_MS = 100;
const PROTOCOL: EndpointProtocol = {
  ...TEST_PROTOCOL,
  healthHeaders: (endpoint) => ["x-endpoint", endpoint],
  readHealth: (status, headers) => {
    const index = headers.findIndex((item) => item.toLowerCase() === "x-cold");
    const isOfCall = headers.some((item) => item.toLowerCase() === "x-call");
    return {
      coldFor: status === 200 && index >= 0 && !isOfCall
        ? milliseconds(Number(headers[index + 1]))
        : undefined,
      isProved: status === 200 && !isOfCall,
    };
  },
};

function send(text: string): RawAnswer {
  return (socket) => socket.write(text);
}

describe("a health check", () => {
  let connections: ConnectionPool;
  let endpoint: RawEndpoint;

  beforeEach(() => {
    connections = new ConnectionPool();
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint.close();
  });

  /** Checks an endpoint once and returns the reported events after the longest time that a check may take. */
  async function check(
    answer: RawAnswer,
    { address, waitMs = WAIT_MS }: { address?: string; waitMs?: number } = {},
  ): Promise<GatewayEvent[]> {
    endpoint = await listenRaw(answer);
    const events: GatewayEvent[] = [];
    new HealthCheck({
      kind: "checkHealth",
      endpoint: "e1" as EndpointId,
      life: undefined,
      address: address ?? endpoint.address,
      path: "/health",
      connections: 2,
    }, {
      protocol: PROTOCOL,
      connections,
      now: () => instant(performance.now()),
      dispatch: (event) => void events.push(event),
    }).start();
    const end = performance.now() + waitMs;
    while (events.length === 0 && performance.now() < end) {
      await new Promise((done) => setTimeout(done, 5));
    }
    return events;
  }

  it("asks for the path and reports for how long the endpoint is cold", async () => {
    const events = await check(
      send("HTTP/1.1 200 OK\r\nx-cold: 250\r\ncontent-length: 2\r\n\r\nok"),
    );
    expect(events).toEqual([
      { kind: "healthChecked", endpoint: "e1", life: undefined, coldFor: 250 },
    ]);
    expect(endpoint.requests[0]).toMatch(/^GET \/health HTTP\/1\.1\r\n/);
    expect(endpoint.requests[0]).toMatch(/\r\nx-endpoint: e1\r\n/);
    expect(endpoint.open()).toBe(1);
  });

  it.each<[string, RawAnswer]>([
    ["tells nothing", send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")],
    ["is a failure", send("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n")],
    ["is no HTTP", send("nonsense\r\n\r\n")],
    ["is cut off", (socket) => socket.destroy()],
    ["does not come", () => {}],
    [
      "has no end",
      send(`HTTP/1.1 200 OK\r\nx-cold: 9\r\n\r\n${"a".repeat(20_000)}`),
    ],
    [
      "has a body that stops",
      send("HTTP/1.1 200 OK\r\nx-cold: 9\r\ncontent-length: 9\r\n\r\nx"),
    ],
  ])("reports nothing if the answer %s", async (_name, answer) => {
    expect(await check(answer)).toEqual([]);
  });

  // Guards against a state that is read from what is no answer, or only a part of one.
  it.each([
    ["has no length", "connection: close"],
    ["has a coding", "transfer-encoding: x-chunked"],
  ])("reports nothing if the answer is reset and %s", async (_name, field) => {
    const answer: RawAnswer = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-cold: 9\r\n${field}\r\n\r\npart`);
      socket.resetAndDestroy();
    };
    expect(await check(answer)).toEqual([]);
  });

  it("reports the state if the answer has no length and ends in order", async () => {
    const events = await check((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nx-cold: 9\r\n\r\nok")
    );
    expect(events).toMatchObject([{ coldFor: 9 }]);
  });

  describe("reports nothing if the answer's head has", () => {
    it.each(MALFORMED_HEADS)("%s", async (_name, answerOf) => {
      const answer: RawAnswer = (socket) =>
        socket.end(answerOf("ok", ["x-cold: 9"]), "latin1");
      expect(await check(answer, { waitMs: SHORT_WAIT_MS })).toEqual([]);
    });
  });

  // Guards against connections that pile up at an endpoint that has no place for the check.
  it("closes its connection if no answer comes in time", async () => {
    await check(() => {});
    expect(endpoint.connections).toBe(1);
    expect(endpoint.open()).toBe(0);
  });

  // Guards against a request that gets the answer to the check before it, which took an extra answer for its own.
  it.each([
    ["names a request", "HTTP/1.1 200 OK\r\nx-call: c1\r\nx-cold: 9\r\n"],
    ["is a refusal", "HTTP/1.1 503 No\r\n"],
  ])("closes its connection if the answer %s", async (_name, head) => {
    expect(await check(send(`${head}content-length: 0\r\n\r\n`))).toEqual([]);
    expect(endpoint.connections).toBe(1);
    expect(endpoint.open()).toBe(0);
  });

  it("reports nothing if nobody listens or the address is not valid", async () => {
    expect(await check(() => {}, { address: "127.0.0.1:80800" })).toEqual([]);
    await endpoint.close();
    expect(await check(() => {}, { address: "127.0.0.1:1" })).toEqual([]);
  });
});
