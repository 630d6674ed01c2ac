import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { EndpointClient } from "../endpoint_client.ts";

const REPORT = '{"running":1,"slots":4}';
const ANSWER =
  `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${REPORT.length}\r\n\r\n${REPORT}`;
/** The largest report, and room for the buffers of the sockets. */
const MAX_SENT_BYTES = 16_000_000;
/** Durations that exceed the timeouts of a poll and of an order. */
const STALLS_MS = { poll: 1_100, order: 3_100 };

/** Blocks the event loop, as a busy machine or a stopped process does. */
function blockEventLoop(durationMs: number): void {
  const until = performance.now() + durationMs;
  while (performance.now() < until) {
    // Keep the event loop busy.
  }
}

describe("control calls to endpoints", () => {
  let endpoint: RawEndpoint;
  let answer: RawAnswer;
  let client: EndpointClient;

  beforeEach(async () => {
    endpoint = await listenRaw((socket, text) => answer(socket, text));
    client = new EndpointClient();
  });
  afterEach(async () => {
    await client.close();
    await endpoint.close();
  });

  // Guards against polls that fail although their answer has arrived. The event loop runs timers before it
  // reads sockets, so after a pause of the entry every pending load poll timed out, and endpoints that had
  // answered became suspect for two seconds.
  describe("while the entry is paused", () => {
    function answerAndStall(forMs: number): RawAnswer {
      return (socket) => {
        socket.write(ANSWER);
        blockEventLoop(forMs);
      };
    }

    it("accept a load report that arrived in the meantime", async () => {
      answer = answerAndStall(STALLS_MS.poll);
      const report = await client.pollLoad(`http://${endpoint.address}`);
      expect(report.running).toBe(1);
    });

    it("accept the answer to an order that arrived in the meantime", async () => {
      answer = answerAndStall(STALLS_MS.order);
      const order = { model: "m", fence: 1, expected: "", endpoint: "e1" };
      const url = `http://${endpoint.address}`;
      expect(await client.sendOrder({ ...order, url } as never)).toBe(true);
    });
  });

  // Guards against a load report without end that fills the memory until the poll times out.
  it("read no more than a report needs", async () => {
    const text = `HTTP/1.1 200 OK\r\n\r\n${" ".repeat(100_000)}`;
    let sentBytes = 0;
    answer = (socket) => {
      const write = (): void => {
        sentBytes = socket.bytesWritten;
        socket.destroyed || socket.write(text, () => setImmediate(write));
      };
      write();
    };
    await expect(client.pollLoad(`http://${endpoint.address}`)).rejects
      .toThrow();
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });

  it("time out if the endpoint does not answer", async () => {
    answer = () => {};
    await expect(client.pollLoad(`http://${endpoint.address}`)).rejects
      .toThrow();
  });
});
