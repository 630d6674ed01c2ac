import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { GatewayEffect, GatewayEvent } from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConnectionPool } from "../connection_pool.ts";
import {
  attempt,
  decideDefault,
  endKindOf,
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "./wire_fixture.ts";

const HEAD = "HTTP/1.1 200 OK\r\nx-call: c1\r\n";
const LENGTH = `${HEAD}content-length: 5\r\n\r\n`;
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const UNFRAMED = `${HEAD}connection: close\r\n\r\n`;

/** Time for bytes to arrive on a connection that nobody uses. */
const UNREAD_WAIT_MS = 50;
/** Maximum number of bytes that one read of a socket returns. */
const SOCKET_BYTES = 65_536;

function send(text: string, then?: (socket: Socket) => void): RawAnswer {
  return (socket) => socket.write(text, () => then?.(socket));
}

describe("an attempt", () => {
  let connections: ConnectionPool;
  let endpoint: RawEndpoint | undefined;

  beforeEach(() => {
    connections = new ConnectionPool();
  });
  afterEach(async () => {
    connections.closeAll();
    await endpoint?.close();
    endpoint = undefined;
  });

  describe("of a plain request", () => {
    const cases: readonly {
      name: string;
      answer: RawAnswer;
      end: string;
      body?: string;
    }[] = [
      {
        name: "an answer with a length",
        answer: send(`${LENGTH}hello`),
        end: "complete",
        body: "hello",
      },
      {
        name: "a chunked answer",
        answer: send(`${CHUNKED}5\r\nhello\r\n0\r\n\r\n`),
        end: "complete",
        body: "hello",
      },
      {
        name: "an answer without a length whose connection closes",
        answer: send(`${UNFRAMED}hello`, (socket) => socket.end()),
        end: "complete",
        body: "hello",
      },
      {
        name: "an answer without a length whose connection is reset",
        answer: send(
          `${UNFRAMED}hel`,
          (socket) => setTimeout(() => socket.resetAndDestroy(), 5),
        ),
        end: "lost",
      },
      {
        name: "an answer without a length whose last bytes arrive with a reset",
        answer: (socket) => {
          socket.write(`${UNFRAMED}hel`);
          socket.resetAndDestroy();
        },
        end: "lost",
      },
      {
        name: "an answer that is shorter than its content length",
        answer: send(`${LENGTH}hel`, (socket) => socket.end()),
        end: "lost",
      },
      {
        name: "a truncated chunked answer",
        answer: send(`${CHUNKED}5\r\nhel`, (socket) => socket.destroy()),
        end: "lost",
      },
      {
        name: "bytes that are not HTTP",
        answer: send("nonsense\r\n\r\n"),
        end: "lost",
      },
      {
        name: "an answer to another request",
        answer: send(`${LENGTH}hello`.replace("c1", "c9")),
        end: "lost",
      },
      {
        name: "a connection that closes without an answer",
        answer: (socket) => socket.destroy(),
        end: "lost",
      },
      {
        name: "an interim answer before the final one",
        answer: send(`HTTP/1.1 102 Processing\r\n\r\n${LENGTH}hello`),
        end: "complete",
        body: "hello",
      },
      {
        name: "bytes after the answer",
        answer: send(`${LENGTH}hello${LENGTH}other`),
        end: "complete",
        body: "hello",
      },
    ];
    it.each(cases)("$name: $end", async ({ answer, end, body }) => {
      endpoint = await listenRaw(answer);
      const seen = await attempt(endpoint.address, { connections }).done;
      expect(endKindOf(seen)).toBe(end);
      expect(seen.body).toBe(body ?? "");
    });

    it("is unsent if no connection is established", async () => {
      const gone = await listenRaw(() => {});
      await gone.close();
      const seen = await attempt(gone.address, { connections }).done;
      expect(endKindOf(seen)).toBe("unsent");
    });

    it("is written once, and not at all if the gateway declines", async () => {
      endpoint = await listenRaw(send(`${LENGTH}hello`));
      const refused = attempt(endpoint.address, {
        connections,
        decide: () => [],
      });
      await refused.done;
      expect(endpoint.requests).toEqual([]);
      await attempt(endpoint.address, { connections }).done;
      expect(endpoint.requests.length).toBe(1);
      expect(endpoint.connections).toBe(1);
    });

    /**
     * Symptom: a request runs twice (a badge is printed twice) with one attempt in the log.
     * Sequence: a reused connection fails while the request is written to it.
     * Cause: an HTTP client that reconnects and resends the request on its own.
     */
    it("is not resent automatically when its connection fails", async () => {
      let answers = 0;
      endpoint = await listenRaw((socket) => {
        answers++;
        answers === 1 ? socket.write(`${LENGTH}hello`) : socket.destroy();
      });
      await attempt(endpoint.address, { connections }).done;
      const second = await attempt(endpoint.address, { connections }).done;
      expect(endKindOf(second)).toBe("lost");
      await new Promise((resolve) => setImmediate(resolve));
      expect(endpoint.requests.length).toBe(2);
    });

    /**
     * Symptom: a caller receives another caller's answer.
     * Sequence: an endpoint sends an extra answer after a complete one; the next request is sent on the same
     * connection.
     * Cause: the extra answer is taken for the answer to the next request.
     */
    it("never accepts an extra answer as its own", async () => {
      endpoint = await listenRaw(
        send(`${LENGTH}hello${LENGTH.replace("c1", "c0")}extra`),
      );
      await attempt(endpoint.address, { connections }).done;
      const second = await attempt(endpoint.address, { connections }).done;
      expect(second.body).toBe("hello");
      expect(endpoint.connections).toBe(2);
    });

    // Guards against the copy of a refusal, proved or not, that is taken for the answer to the next request.
    it.each([
      ["states that nothing ran", "x-call: c1\r\nx-not-run: 1\r\n"],
      ["states nothing", "x-call: c1\r\n"],
    ])(
      "uses another connection after a refusal that %s",
      async (_name, lines) => {
        const refusal = `HTTP/1.1 503 No\r\n${lines}content-length: 0\r\n\r\n`;
        endpoint = await listenRaw((socket) =>
          socket.write(
            endpoint!.requests.length === 1
              ? refusal
              : endpoint!.connections === 1
              ? refusal + `${LENGTH}hello`
              : `${LENGTH}hello`,
          )
        );
        const decide = (event: GatewayEvent): GatewayEffect[] =>
          event.kind === "answered" && event.answer.status === 503
            ? []
            : decideDefault(event);
        await attempt(endpoint.address, { connections, decide }).done;
        const second = await attempt(endpoint.address, { connections, decide })
          .done;
        expect(second.body).toBe("hello");
        expect(endpoint.connections).toBe(2);
      },
    );

    // Guards against a request that waits on a connection which ends with the answer before, and fails unsent.
    it.each([
      ["has an extra answer behind it", `${LENGTH}hello${LENGTH}extra`],
      [
        "says that its connection closes",
        `${HEAD}connection: close\r\ncontent-length: 5\r\n\r\nhello`,
      ],
    ])(
      "is sent on another connection if the answer before %s",
      async (_name, bytes) => {
        endpoint = await listenRaw(send(bytes));
        let second: ReturnType<typeof attempt> | undefined;
        await attempt(endpoint.address, {
          connections,
          decide: (event) => {
            if (event.kind === "ended") {
              second = attempt(endpoint!.address, { connections });
            }
            return decideDefault(event);
          },
        }).done;
        const result = await second!.done;
        expect(endKindOf(result)).toBe("complete");
        expect(result.body).toBe("hello");
        expect(endpoint.connections).toBe(2);
      },
    );

    // Guards against a request that counts as one that may have run, though none of its bytes was written.
    it("is unsent if bytes end its connection before it is written", async () => {
      let received = 0;
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.on("data", () => received++);
        socket.write(`${LENGTH}extra`);
      });
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      const address = `127.0.0.1:${port}`;
      await attempt(address, { connections, decide: () => [] }).done;
      await new Promise((resolve) => setTimeout(resolve, UNREAD_WAIT_MS));
      const result = await attempt(address, { connections }).done;
      server.close();
      expect(endKindOf(result)).toBe("unsent");
      expect(received).toBe(0);
    });

    it("is sent with its own body after an early answer to another request", async () => {
      endpoint = await listenRaw((socket, request) => {
        if (request.includes(" /x ")) {
          socket.write(`${LENGTH}early`);
        }
      });
      const body = "b".repeat(200_000);
      await attempt(endpoint.address, { connections, body }).done;
      await attempt(endpoint.address, { connections }).done;
      const sent = endpoint.requests.join("");
      expect(sent.split("GET /x ").length).toBe(2);
      expect(sent.match(/b+/g)!.join("").length).toBeGreaterThanOrEqual(1);
    });
  });

  describe("of a stream", () => {
    const FIRST = "id: 1\ndata: a\n\n";

    it("forwards events as they arrive", async () => {
      endpoint = await listenRaw((socket) => {
        socket.write(`${CHUNKED}${chunk(FIRST)}`);
        setTimeout(() => socket.write(`${chunk("id: 2\n\n")}0\r\n\r\n`), 20);
      });
      const { seen, done } = attempt(endpoint.address, {
        connections,
        streaming: true,
      });
      await until(() => seen.body === FIRST);
      await done;
      expect(seen.body).toBe(`${FIRST}id: 2\n\n`);
      expect(endKindOf(seen)).toBe("complete");
    });

    it("does not forward a truncated event", async () => {
      endpoint = await listenRaw(
        send(
          `${CHUNKED}${chunk(`${FIRST}id: 2\nda`)}`,
          (socket) => setTimeout(() => socket.destroy(), 5),
        ),
      );
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe(FIRST);
      expect(endKindOf(seen)).toBe("lost");
    });

    // Streams that ended inside an event were treated as complete because the HTTP body had ended correctly.
    it("is lost if its body ends inside an event", async () => {
      endpoint = await listenRaw(
        send(`${CHUNKED}${chunk(`${FIRST}id: 2\nda`)}0\r\n\r\n`),
      );
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe(FIRST);
      expect(endKindOf(seen)).toBe("lost");
    });

    it("is complete with blank lines after its last event", async () => {
      endpoint = await listenRaw(
        send(`${CHUNKED}${chunk(`${FIRST}\n`)}0\r\n\r\n`),
      );
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe(`${FIRST}\n`);
      expect(endKindOf(seen)).toBe("complete");
    });

    it.each([
      ["a failure", LENGTH.replace("200 OK", "500 Oops")],
      [
        "another type",
        LENGTH.replace("x-call", "content-type: text/plain\r\nx-call"),
      ],
    ])("forwards %s completely", async (_name, head) => {
      endpoint = await listenRaw(send(`${head}hello`));
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe("hello");
      expect(endKindOf(seen)).toBe("complete");
    });

    // An entry crashed with all its streams on the HTTP client's assertion "assert(!this.paused)". Reading
    // was paused for a slow caller, and meanwhile the endpoint's connection closed or was reset during an
    // answer that is delimited by it. The client then finishes its parser, which must not be paused.
    describe("whose connection ends while reading is paused for a slow caller", () => {
      const CLOSING = `${HEAD}connection: close\r\n`;
      const cases: readonly {
        name: string;
        head: string;
        then: (socket: Socket) => void;
        end: string;
      }[] = [
        {
          name: "by closing after an answer without a length",
          head: `${CLOSING}\r\n${FIRST}`,
          then: (socket) => socket.end(),
          end: "complete",
        },
        {
          name: "by a reset of an answer without a length",
          head: `${CLOSING}\r\n${FIRST}`,
          then: (socket) => socket.resetAndDestroy(),
          end: "lost",
        },
        {
          name: "by a reset of a chunked answer",
          head: `${CLOSING}transfer-encoding: chunked\r\n\r\n${chunk(FIRST)}`,
          then: (socket) => socket.resetAndDestroy(),
          end: "lost",
        },
        {
          name: "by closing after a complete chunked answer",
          head: `${CLOSING}transfer-encoding: chunked\r\n\r\n${chunk(FIRST)}`,
          then: (socket) => socket.end("0\r\n\r\n"),
          end: "complete",
        },
      ];
      it.each(cases)("$name: $end", async ({ head, then, end }) => {
        endpoint = await listenRaw((socket) => {
          socket.write(head);
          setTimeout(() => then(socket), 10);
        });
        const { seen, done } = attempt(endpoint.address, {
          connections,
          streaming: true,
          slow: true,
        });
        await until(() => seen.resume !== undefined);
        await new Promise((resolve) => setTimeout(resolve, 50));
        seen.resume!();
        await done;
        expect(endKindOf(seen)).toBe(end);
        expect(seen.body).toBe(FIRST);
      }, 5_000);
    });

    it("is not read faster than its caller reads, and delivers the rest later", async () => {
      const event = `id: 1\ndata: ${"x".repeat(1_000)}\n\n`;
      const body = event.repeat(20_000);
      endpoint = await listenRaw(
        send(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`),
      );
      const { seen, done } = attempt(endpoint.address, {
        connections,
        streaming: true,
        slow: true,
      });
      await until(() => seen.resume !== undefined);
      await new Promise((resolve) => setTimeout(resolve, 100));
      expect(seen.body.length).toBeLessThan(SOCKET_BYTES);
      seen.resume!();
      await done;
      expect(seen.body === body).toBe(true);
      expect(endKindOf(seen)).toBe("complete");
    });

    it(
      "leaves its connection unpaused if it completes before its caller reads on",
      async () => {
        endpoint = await listenRaw(
          send(`${CHUNKED}${chunk(FIRST)}0\r\n\r\n`),
        );
        const options = { connections, streaming: true };
        const first = attempt(endpoint.address, { ...options, slow: true });
        await first.done;
        const second = await attempt(endpoint.address, options).done;
        expect(second.body).toBe(FIRST);
        expect(endpoint.connections).toBe(1);
      },
      5_000,
    );

    it("is aborted immediately", async () => {
      let closed = false;
      endpoint = await listenRaw((socket) => {
        socket.on("close", () => closed = true);
        socket.write(`${CHUNKED}${chunk(FIRST)}`);
      });
      const { seen, call } = attempt(endpoint.address, {
        connections,
        streaming: true,
      });
      await until(() => seen.body === FIRST);
      call.abort();
      await until(() => closed);
      expect(endKindOf(seen)).toBe("none");
    });
  });
});

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
