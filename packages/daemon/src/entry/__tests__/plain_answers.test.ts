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
    await fixture.start({ badges: 1 });
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
});
