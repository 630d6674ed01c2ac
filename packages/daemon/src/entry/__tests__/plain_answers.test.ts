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
    const own = `${HEAD}content-length: 3\r\n\r\nown`;
    let written: Promise<void> | undefined;
    const later = async (write: () => unknown): Promise<void> => {
      await new Promise((resolve) => setTimeout(resolve, 5));
      write();
    };
    const strayAnswer = `${HEAD}content-length: 5\r\n\r\nstray`;

    // Unsolicited bytes are waiting on the connection that the next call uses. A plain answer does not name
    // its request, so the call would take them for its own answer. (Bytes that arrive after the next call
    // was written cannot be told from its answer.)
    const precedingScripts: [string, EndpointScript][] = [
      ["two answers at once", (socket) => socket.write(own + strayAnswer)],
      ["another answer a moment later", (socket) => {
        socket.write(own);
        written = later(() => socket.write(strayAnswer));
      }],
      ["another answer and an end", (socket) => {
        socket.write(own);
        written = later(() => socket.end(strayAnswer));
      }],
      [
        "half an answer more",
        (socket) => socket.write(own + strayAnswer.slice(0, 40)),
      ],
      ["a timeout of its own", (socket) => {
        socket.write(own);
        written = later(() =>
          socket.end(
            "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n",
          )
        );
      }],
      [
        "an interim answer",
        (socket) => socket.write(`HTTP/1.1 102 Processing\r\n\r\n${own}`),
      ],
      ["two interim answers", (socket) =>
        socket.write(
          `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${own}`,
        )],
    ];

    it.each(precedingScripts)(
      "belongs to its own call after %s",
      async (_, before) => {
        const body = "its own";
        const whole = `${HEAD}content-length: ${body.length}\r\n\r\n${body}`;
        for (let round = 0; round < 8; round++) {
          const first = await fixture.plain("notes", before);
          expect(first).toMatchObject({ status: 200, text: "own" });
          await written;
          const next = await fixture.plain(
            "notes",
            (socket) => socket.write(whole),
          );
          expect(next).toMatchObject({ status: 200, text: body });
        }
      },
    );

    it("belongs to its own call after a call that timed out", async () => {
      const late: EndpointScript = (socket) =>
        setTimeout(() => socket.write(strayAnswer), 150);
      const first = await fixture.plain("notes", late, {
        "sassafrasstep-deadline-ms": "100",
      });
      expect(first.status).toBe(504);
      const next = await fixture.plain(
        "notes",
        (socket) => setTimeout(() => socket.write(own), 100),
      );
      expect(next).toMatchObject({ status: 200, text: "own" });
    });
  });
});
