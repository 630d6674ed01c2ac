import type { Socket } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { EntryFixture, type Script } from "./entry_fixture.ts";

const WHOLE = '{"ticket":4711}';
const HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
const FRAMINGS: Readonly<Record<string, string>> = {
  "with a length": `${HEAD}content-length: ${WHOLE.length}\r\n\r\n${WHOLE}`,
  "with a length, closing":
    `${HEAD}connection: close\r\ncontent-length: ${WHOLE.length}\r\n\r\n${WHOLE}`,
  chunked: `${HEAD}transfer-encoding: chunked\r\n\r\n7\r\n${
    WHOLE.slice(0, 7)
  }\r\n8\r\n${WHOLE.slice(7)}\r\n0\r\n\r\n`,
  "chunked, closing":
    `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n7\r\n${
      WHOLE.slice(0, 7)
    }\r\n8\r\n${WHOLE.slice(7)}\r\n0\r\n\r\n`,
  "without a length": `${HEAD}\r\n${WHOLE}`,
  "without a length, closing": `${HEAD}connection: close\r\n\r\n${WHOLE}`,
};
/** Ways in which a connection stops. */
const STOPS: Readonly<Record<string, (socket: Socket) => void>> = {
  "closed in order": (socket) => socket.end(),
  "reset at once": (socket) => socket.resetAndDestroy(),
  "reset later": (socket) => setTimeout(() => socket.resetAndDestroy(), 5),
};

function isFramed(framing: string): boolean {
  return !framing.startsWith("without");
}

describe("plain answers that stop", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ badges: 1, notes: 1 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // A plain answer without a length was torn by a reset of its connection, and the caller got the part
  // as a whole answer with "ran". The client library takes ECONNRESET for the end of such an answer.
  // Here each answer is cut at each of its bytes; the call may not be repeated, so that there is only
  // the whole answer or a refusal that says "may_have_run".
  for (const [framing, bytes] of Object.entries(FRAMINGS)) {
    describe(framing, () => {
      it.each(Object.keys(STOPS))("%s, at each byte", async (stop) => {
        const key = await fixture.newKey(
          `${framing}${stop}`.replace(/\W/g, ""),
        );
        const bad: string[] = [];
        await Promise.all(
          Array.from({ length: bytes.length + 1 }, async (_, cut) => {
            const script: Script = (socket) =>
              socket.write(bytes.slice(0, cut), () => STOPS[stop]!(socket));
            const answer = await fixture.plain("badges", script, {
              "idempotency-key": `${key}${cut}`,
            });
            const closesInOrder = stop === "closed in order";
            const mayEndHere = !isFramed(framing) && closesInOrder &&
              cut >= bytes.length - WHOLE.length;
            const mustBeWhole = isFramed(framing) && cut === bytes.length;
            const verdict = answer.header("sassafrasstep-verdict");
            const whole = answer.status === 200 && answer.text === WHOLE;
            const refused = answer.status >= 500 &&
              verdict.startsWith("may_have_run");
            const part = mayEndHere && answer.status === 200;
            if (!(whole || part || (refused && !mustBeWhole))) {
              bad.push(`${cut}: ${answer.status} ${verdict} ${answer.text}`);
            }
          }),
        );
        expect(bad).toEqual([]);
      });
    });
  }

  describe("on a kept connection", () => {
    const own = `${HEAD}content-length: 3\r\n\r\nown`;
    let said: Promise<void> | undefined;
    const later = async (say: () => unknown): Promise<void> => {
      await new Promise((resolve) => setTimeout(resolve, 5));
      say();
    };
    const stray = `${HEAD}content-length: 5\r\n\r\nstray`;

    // Bytes that nobody asked for lie on the connection that the next call takes. A plain answer names no
    // request, so that they would be its answer. (Those that come once the next call is written can't be
    // told from its answer by anybody.)
    const befores: [string, Script][] = [
      ["two answers at once", (socket) => socket.write(own + stray)],
      ["another answer a moment later", (socket) => {
        socket.write(own);
        said = later(() => socket.write(stray));
      }],
      ["another answer and an end", (socket) => {
        socket.write(own);
        said = later(() => socket.end(stray));
      }],
      [
        "half an answer more",
        (socket) => socket.write(own + stray.slice(0, 40)),
      ],
      ["a timeout of its own", (socket) => {
        socket.write(own);
        said = later(() =>
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

    it.each(befores)("is its own call's: %s before it", async (_, before) => {
      const body = "its own";
      const whole = `${HEAD}content-length: ${body.length}\r\n\r\n${body}`;
      for (let round = 0; round < 8; round++) {
        const first = await fixture.plain("notes", before);
        expect(first).toMatchObject({ status: 200, text: "own" });
        await said;
        const next = await fixture.plain(
          "notes",
          (socket) => socket.write(whole),
        );
        expect(next).toMatchObject({ status: 200, text: body });
      }
    });

    it("is its own call's after one whose time ran out", async () => {
      const late: Script = (socket) =>
        setTimeout(() => socket.write(stray), 150);
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
