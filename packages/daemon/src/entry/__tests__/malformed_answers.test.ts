import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { MALFORMED_HEADS } from "../../gateway/__tests__/malformed_heads.ts";
import { type CallerAnswer, EntryFixture } from "./entry_fixture.ts";
import { eventsOf, framesOf } from "./stream_fixture.ts";

const BAD_GATEWAY = 502;
const BODY = '{"ticket":4711}';
const JSON_TYPE = "content-type: application/json";
const STREAM_TYPE = "content-type: text/event-stream";
const ENCODING = { framing: "length", newline: "\n", extras: false } as const;

// Guards against what is no answer in the protocol and reaches a caller as one.
describe("answers whose heads are malformed", () => {
  const fixture = new EntryFixture();

  beforeAll(() => fixture.start({ badges: 1, pool: 1 }));
  afterAll(() => fixture.stop());

  /** Returns the heads of which a caller got an answer other than expected. */
  async function findFaults(
    ask: (index: number) => Promise<CallerAnswer>,
    isExpected: (answer: CallerAnswer) => boolean,
  ): Promise<string[]> {
    // All at once, because an entry avoids an endpoint for a while after a lost answer.
    const answers = await Promise.all(MALFORMED_HEADS.map((_, at) => ask(at)));
    return answers.flatMap((answer, index) =>
      isExpected(answer)
        ? []
        : [`${MALFORMED_HEADS[index]![0]}: ${answer.status} ${answer.text}`]
    );
  }

  it("are lost where they should be plain", async () => {
    const key = await fixture.newKey("malformed");
    const faults = await findFaults(
      (index) =>
        fixture.plain("badges", (socket) => {
          const [, answerOf] = MALFORMED_HEADS[index]!;
          socket.end(answerOf(BODY, [JSON_TYPE]), "latin1");
        }, { "idempotency-key": `${key}${index}` }),
      (answer) =>
        answer.status === BAD_GATEWAY &&
        answer.header("sassafrasstep-verdict").startsWith("may_have_run"),
    );
    expect(faults).toEqual([]);
  });

  it("are lost where they should be streams", async () => {
    const faults = await findFaults(
      (index) =>
        fixture.chat((socket, attempt) => {
          const [, answerOf] = MALFORMED_HEADS[index]!;
          const events = eventsOf(framesOf(attempt), ENCODING).join("");
          // One character for each byte, because the length counts bytes.
          const body = Buffer.from(events).toString("latin1");
          socket.end(answerOf(body, [STREAM_TYPE]), "latin1");
        }),
      (answer) => !answer.text.includes("[DONE]"),
    );
    expect(faults).toEqual([]);
  });
});
