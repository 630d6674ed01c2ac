import type { Socket } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type EndpointScript, EntryFixture } from "./entry_fixture.ts";

const BODY = '{"ticket":4711}';
const HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
const FRAMINGS: Readonly<Record<string, string>> = {
  "with a length": `${HEAD}content-length: ${BODY.length}\r\n\r\n${BODY}`,
  "with a length, closing":
    `${HEAD}connection: close\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`,
  chunked: `${HEAD}transfer-encoding: chunked\r\n\r\n7\r\n${
    BODY.slice(0, 7)
  }\r\n8\r\n${BODY.slice(7)}\r\n0\r\n\r\n`,
  "chunked, closing":
    `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n7\r\n${
      BODY.slice(0, 7)
    }\r\n8\r\n${BODY.slice(7)}\r\n0\r\n\r\n`,
  "without a length": `${HEAD}\r\n${BODY}`,
  "without a length, closing": `${HEAD}connection: close\r\n\r\n${BODY}`,
  "without a length, coded": `${HEAD}transfer-encoding: gzip\r\n\r\n${BODY}`,
  "without a length, with an unknown coding":
    `${HEAD}transfer-encoding: x-chunked\r\n\r\n${BODY}`,
};
/** Ways in which a connection ends. */
const CONNECTION_ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  "closed normally": (socket) => socket.end(),
  "reset at once": (socket) => socket.resetAndDestroy(),
  "reset later": (socket) => setTimeout(() => socket.resetAndDestroy(), 5),
};

function isFramed(framing: string): boolean {
  return !framing.startsWith("without");
}

describe("plain answers that are cut off", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ badges: 1, notes: 1 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // Guards against a truncated answer that counts as complete. When a reset cut off a plain answer without a
  // length, the caller got the part with the verdict "ran", since the client library takes ECONNRESET for
  // the end of such an answer. These tests cut each answer at each byte. The call must not be repeated, so
  // the caller gets either the complete answer or a refusal with "may_have_run".
  for (const [framing, bytes] of Object.entries(FRAMINGS)) {
    describe(framing, () => {
      it.each(Object.keys(CONNECTION_ENDS))(
        "%s, cut at each byte",
        async (stop) => {
          const key = await fixture.newKey(
            `${framing}${stop}`.replace(/\W/g, ""),
          );
          const violations: string[] = [];
          await Promise.all(
            Array.from({ length: bytes.length + 1 }, async (_, cut) => {
              const script: EndpointScript = (socket) =>
                socket.write(
                  bytes.slice(0, cut),
                  () => CONNECTION_ENDS[stop]!(socket),
                );
              const answer = await fixture.plain("badges", script, {
                "idempotency-key": `${key}${cut}`,
              });
              const closesNormally = stop === "closed normally";
              const mayBePartial = !isFramed(framing) && closesNormally &&
                cut >= bytes.length - BODY.length;
              const mustBeWhole = isFramed(framing) && cut === bytes.length;
              const verdict = answer.header("sassafrasstep-verdict");
              const whole = answer.status === 200 && answer.text === BODY;
              const refused = answer.status >= 500 &&
                verdict.startsWith("may_have_run");
              const part = mayBePartial && answer.status === 200;
              if (!(whole || part || (refused && !mustBeWhole))) {
                violations.push(
                  `${cut}: ${answer.status} ${verdict} ${answer.text}`,
                );
              }
            }),
          );
          expect(violations).toEqual([]);
        },
      );
    });
  }

  describe("on a kept-alive connection", () => {
    // Answers name their attempt; otherwise the connection would not be kept.
    const answerOf = (id: string, body: string): string =>
      `${HEAD}x-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    const own = (id: string): string => answerOf(id, "own");
    const stray = (id: string): string => answerOf(id, "stray");
    let written: Promise<void> | undefined;
    const later = async (write: () => unknown): Promise<void> => {
      await new Promise((resolve) => setTimeout(resolve, 5));
      write();
    };

    // Guards against unsolicited bytes on the connection that the next call uses and takes for its own answer.
    const precedingScripts: [string, EndpointScript][] = [
      [
        "two answers at once",
        (socket, { id }) => socket.write(own(id) + stray(id)),
      ],
      ["another answer a moment later", (socket, { id }) => {
        socket.write(own(id));
        written = later(() => socket.write(stray(id)));
      }],
      ["another answer and an end", (socket, { id }) => {
        socket.write(own(id));
        written = later(() => socket.end(stray(id)));
      }],
      [
        "half an answer more",
        (socket, { id }) => socket.write(own(id) + stray(id).slice(0, 40)),
      ],
      ["a timeout of its own", (socket, { id }) => {
        socket.write(own(id));
        written = later(() =>
          socket.end(
            "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n",
          )
        );
      }],
      [
        "an interim answer",
        (socket, { id }) =>
          socket.write(`HTTP/1.1 102 Processing\r\n\r\n${own(id)}`),
      ],
      ["two interim answers", (socket, { id }) =>
        socket.write(
          `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${
            own(id)
          }`,
        )],
    ];

    it.each(precedingScripts)(
      "belongs to its own call after %s",
      async (_, before) => {
        const body = "its own";
        for (let round = 0; round < 8; round++) {
          const first = await fixture.plain("notes", before);
          expect(first).toMatchObject({ status: 200, text: "own" });
          await written;
          const next = await fixture.plain(
            "notes",
            (socket, { id }) => socket.write(answerOf(id, body)),
          );
          expect(next).toMatchObject({ status: 200, text: body });
        }
      },
    );

    it("belongs to its own call after a call that timed out", async () => {
      const late: EndpointScript = (socket, { id }) =>
        setTimeout(() => socket.write(stray(id)), 150);
      const first = await fixture.plain("notes", late, {
        "sassafrasstep-deadline-ms": "100",
      });
      expect(first.status).toBe(504);
      const next = await fixture.plain(
        "notes",
        (socket, { id }) => setTimeout(() => socket.write(own(id)), 100),
      );
      expect(next).toMatchObject({ status: 200, text: "own" });
    });
  });
});
