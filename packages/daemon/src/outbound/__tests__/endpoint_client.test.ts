import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { MALFORMED_HEADS } from "../../gateway/__tests__/malformed_heads.ts";
import { EndpointClient } from "../endpoint_client.ts";

const REPORT = '{"running":1,"slots":4}';
const ORDER = { model: "m", fence: 1, expected: "", endpoint: "e1" };
const ANSWER = answerOf("200 OK", REPORT);
/** The largest report, and room for the buffers of the sockets. */
const MAX_SENT_BYTES = 16_000_000;
/** Durations that exceed the timeouts of a poll and of an order. */
const STALLS_MS = { poll: 1_100, order: 3_100 };

function answerOf(status: string, body: string, id?: string): string {
  const name = id === undefined ? "" : `x-request-id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\n${name}content-length: ${body.length}\r\n\r\n${body}`;
}

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
      const url = `http://${endpoint.address}`;
      expect(await client.sendOrder({ ...ORDER, url } as never)).toBe(true);
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

  // Guards against an extra answer that is taken for that of the next control call.
  describe("to an endpoint that sends an answer too many", () => {
    let previous: string;
    let served: number;
    let used: WeakSet<object>;

    /** Answers each call by the number of calls so far, after a copy of the answer before. */
    function answerAfterCopy(status: string, isNamed: boolean): RawAnswer {
      return (socket, text) => {
        const id = /^x-request-id: (.*)$/im.exec(text)?.[1]?.trim();
        served++;
        const isOrder = text.startsWith("POST");
        const own = answerOf(
          isOrder ? status : "200 OK",
          `{"running":${served},"slots":4}`,
          isNamed ? id : undefined,
        );
        const copy = used.has(socket) ? previous : "";
        used.add(socket);
        previous = own;
        socket.write(copy + own);
      };
    }

    beforeEach(() => {
      previous = "";
      served = 0;
      used = new WeakSet();
    });

    describe.each([[true], [false]])("with ids: %s", (isNamed) => {
      it("take no order for accepted that was refused", async () => {
        answer = answerAfterCopy("409 Conflict", isNamed);
        const url = `http://${endpoint.address}`;
        for (let round = 0; round < 3; round++) {
          await client.pollLoad(url).catch(() => {});
          expect(await client.sendOrder({ ...ORDER, url } as never)).toBe(
            false,
          );
        }
      });

      it("take no load report of an earlier poll or of an order", async () => {
        answer = answerAfterCopy("200 OK", isNamed);
        const url = `http://${endpoint.address}`;
        for (let round = 0; round < 3; round++) {
          await client.sendOrder({ ...ORDER, url } as never);
          for (let poll = 0; poll < 2; poll++) {
            const report = await client.pollLoad(url).catch(() => undefined);
            expect([served, undefined]).toContain(report?.running);
          }
        }
      });
    });
  });

  // Guards against an order that counts as accepted though its answer is not one, or is only a part of one.
  describe("to an endpoint whose answer is not whole", () => {
    const OK_HEAD = "HTTP/1.1 200 OK\r\n";
    const PARTS: readonly [string, string][] = [
      ["with a length", `${OK_HEAD}content-length: ${REPORT.length + 1}`],
      ["in chunks", `${OK_HEAD}transfer-encoding: chunked\r\n\r\nff`],
      ["without a length", `${OK_HEAD}connection: close`],
      ["with a coding", `${OK_HEAD}transfer-encoding: x-chunked`],
    ];
    it.each(PARTS)("accept no part of one %s", async (_name, head) => {
      answer = (socket) => {
        socket.write(`${head}\r\n\r\n${REPORT}`);
        socket.resetAndDestroy();
      };
      const url = `http://${endpoint.address}`;
      await expect(client.pollLoad(url)).rejects.toThrow();
      await expect(client.sendOrder({ ...ORDER, url } as never)).rejects
        .toThrow();
    });

    it.each(MALFORMED_HEADS)(
      "accept none whose head has %s",
      async (_name, answerOf) => {
        answer = (socket) => socket.end(answerOf(REPORT), "latin1");
        const url = `http://${endpoint.address}`;
        await expect(client.pollLoad(url)).rejects.toThrow();
        await expect(client.sendOrder({ ...ORDER, url } as never)).rejects
          .toThrow();
      },
    );
  });

  it.each([
    ["keep a connection if polls' answers name them", true, 1],
    ["use a connection for each poll if answers name none", false, 3],
  ])("%s", async (_, isNamed, connections) => {
    answer = (socket, text) => {
      const id = /^x-request-id: (.*)$/im.exec(text)?.[1]?.trim();
      socket.write(answerOf("200 OK", REPORT, isNamed ? id : undefined));
    };
    for (let poll = 0; poll < 3; poll++) {
      const report = await client.pollLoad(`http://${endpoint.address}`);
      expect(report.running).toBe(1);
    }
    expect(endpoint.connections).toBe(connections);
  });

  it("time out if the endpoint does not answer", async () => {
    answer = () => {};
    await expect(client.pollLoad(`http://${endpoint.address}`)).rejects
      .toThrow();
  });
});
