import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Connections } from "../connections.ts";
import {
  attempt,
  endOf,
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "./wire_fixture.ts";

const HEAD = "HTTP/1.1 200 OK\r\nx-call: c1\r\n";
const LENGTH = `${HEAD}content-length: 5\r\n\r\n`;
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const UNFRAMED = `${HEAD}connection: close\r\n\r\n`;

/** What one read of a socket brings at most. */
const SOCKET_BYTES = 65_536;

function say(text: string, then?: (socket: Socket) => void): RawAnswer {
  return (socket) => socket.write(text, () => then?.(socket));
}

describe("an attempt", () => {
  let connections: Connections;
  let endpoint: RawEndpoint | undefined;

  beforeEach(() => {
    connections = new Connections();
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
        answer: say(`${LENGTH}hello`),
        end: "complete",
        body: "hello",
      },
      {
        name: "a chunked answer",
        answer: say(`${CHUNKED}5\r\nhello\r\n0\r\n\r\n`),
        end: "complete",
        body: "hello",
      },
      {
        name: "an answer without a length that ends with its connection",
        answer: say(`${UNFRAMED}hello`, (socket) => socket.end()),
        end: "complete",
        body: "hello",
      },
      {
        name: "an answer without a length that is reset",
        answer: say(
          `${UNFRAMED}hel`,
          (socket) => setTimeout(() => socket.resetAndDestroy(), 5),
        ),
        end: "lost",
      },
      {
        name: "an answer without a length whose last bytes come with a reset",
        answer: (socket) => {
          socket.write(`${UNFRAMED}hel`);
          socket.resetAndDestroy();
        },
        end: "lost",
      },
      {
        name: "an answer that is shorter than its length",
        answer: say(`${LENGTH}hel`, (socket) => socket.end()),
        end: "lost",
      },
      {
        name: "a chunked answer that breaks off",
        answer: say(`${CHUNKED}5\r\nhel`, (socket) => socket.destroy()),
        end: "lost",
      },
      {
        name: "bytes that are no answer",
        answer: say("nonsense\r\n\r\n"),
        end: "lost",
      },
      {
        name: "an answer to another request",
        answer: say(`${LENGTH}hello`.replace("c1", "c9")),
        end: "lost",
      },
      {
        name: "a connection that closes at once",
        answer: (socket) => socket.destroy(),
        end: "lost",
      },
      {
        name: "an interim answer before the final one",
        answer: say(`HTTP/1.1 102 Processing\r\n\r\n${LENGTH}hello`),
        end: "complete",
        body: "hello",
      },
      {
        name: "bytes after the answer",
        answer: say(`${LENGTH}hello${LENGTH}other`),
        end: "complete",
        body: "hello",
      },
    ];
    it.each(cases)("$name: $end", async ({ answer, end, body }) => {
      endpoint = await listenRaw(answer);
      const seen = await attempt(endpoint.address, { connections }).done;
      expect(endOf(seen)).toBe(end);
      expect(seen.body).toBe(body ?? "");
    });

    it("is unsent where no connection comes about", async () => {
      const gone = await listenRaw(() => {});
      await gone.close();
      const seen = await attempt(gone.address, { connections }).done;
      expect(endOf(seen)).toBe("unsent");
    });

    it("is written once, and not at all where the gateway says no", async () => {
      endpoint = await listenRaw(say(`${LENGTH}hello`));
      const refused = attempt(endpoint.address, {
        connections,
        judge: () => [],
      });
      await refused.done;
      expect(endpoint.requests).toEqual([]);
      await attempt(endpoint.address, { connections }).done;
      expect(endpoint.requests.length).toBe(1);
      expect(endpoint.connections).toBe(1);
    });

    /**
     * Symptom: a badge is printed twice with one attempt in the log.
     * Sequence: a kept connection dies as the request is written on it.
     * Cause: an HTTP client that connects anew and sends again by itself.
     */
    it("is not sent again by itself on a connection that died", async () => {
      let answers = 0;
      endpoint = await listenRaw((socket) => {
        answers++;
        answers === 1 ? socket.write(`${LENGTH}hello`) : socket.destroy();
      });
      await attempt(endpoint.address, { connections }).done;
      const second = await attempt(endpoint.address, { connections }).done;
      expect(endOf(second)).toBe("lost");
      await new Promise((resolve) => setImmediate(resolve));
      expect(endpoint.requests.length).toBe(2);
    });

    /**
     * Symptom: a caller gets another caller's answer.
     * Sequence: an endpoint says one more answer after a complete one; the next request goes out on
     * the same connection.
     * Cause: the extra answer is taken for that of the next request.
     */
    it("never takes an extra answer for its own", async () => {
      endpoint = await listenRaw(
        say(`${LENGTH}hello${LENGTH.replace("c1", "c0")}extra`),
      );
      await attempt(endpoint.address, { connections }).done;
      const second = await attempt(endpoint.address, { connections }).done;
      expect(second.body).toBe("hello");
      expect(endpoint.connections).toBe(2);
    });

    it("gets the bytes of its own body after an early answer to another", async () => {
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

    it("passes events on as they come", async () => {
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
      expect(endOf(seen)).toBe("complete");
    });

    it("keeps back an event that is torn", async () => {
      endpoint = await listenRaw(
        say(
          `${CHUNKED}${chunk(`${FIRST}id: 2\nda`)}`,
          (socket) => setTimeout(() => socket.destroy(), 5),
        ),
      );
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe(FIRST);
      expect(endOf(seen)).toBe("lost");
    });

    // Streams were told whole inside an event: the framing had ended there in order.
    it("is lost where its framing ends inside an event", async () => {
      endpoint = await listenRaw(
        say(`${CHUNKED}${chunk(`${FIRST}id: 2\nda`)}0\r\n\r\n`),
      );
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe(FIRST);
      expect(endOf(seen)).toBe("lost");
    });

    it("is whole with blank lines after its last event", async () => {
      endpoint = await listenRaw(
        say(`${CHUNKED}${chunk(`${FIRST}\n`)}0\r\n\r\n`),
      );
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe(`${FIRST}\n`);
      expect(endOf(seen)).toBe("complete");
    });

    it.each([
      ["a failure", LENGTH.replace("200 OK", "500 Oops")],
      [
        "another type",
        LENGTH.replace("x-call", "content-type: text/plain\r\nx-call"),
      ],
    ])("passes %s on to its last byte", async (_name, head) => {
      endpoint = await listenRaw(say(`${head}hello`));
      const seen = await attempt(endpoint.address, {
        connections,
        streaming: true,
      }).done;
      expect(seen.body).toBe("hello");
      expect(endOf(seen)).toBe("complete");
    });

    // An entry died with all its streams, by an assertion of the HTTP client: "assert(!this.paused)". A caller
    // had no room for more, so reading was held back, and meanwhile the endpoint's connection ended or was
    // reset under an answer that ends with it. The client then ends its parser, which must not be paused.
    describe("whose caller has no room while the connection ends", () => {
      const CLOSING = `${HEAD}connection: close\r\n`;
      const cases: readonly {
        name: string;
        head: string;
        then: (socket: Socket) => void;
        end: string;
      }[] = [
        {
          name: "in order after an answer without a length",
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
          name: "in order after a whole chunked answer",
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
        expect(endOf(seen)).toBe(end);
        expect(seen.body).toBe(FIRST);
      }, 5_000);
    });

    it("is not read further than its caller has room, and gives the rest later", async () => {
      const event = `id: 1\ndata: ${"x".repeat(1_000)}\n\n`;
      const body = event.repeat(20_000);
      endpoint = await listenRaw(
        say(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`),
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
      expect(endOf(seen)).toBe("complete");
    });

    it(
      "leaves a connection that is read, where it is whole before its caller has room",
      async () => {
        endpoint = await listenRaw(
          say(`${CHUNKED}${chunk(FIRST)}0\r\n\r\n`),
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

    it("is given up at once", async () => {
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
      expect(endOf(seen)).toBe("none");
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
