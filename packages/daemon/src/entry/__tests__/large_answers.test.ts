import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type EndpointScript, EntryFixture } from "./entry_fixture.ts";

/** Exceeds the largest answer that an entry buffers. */
const ANSWER_BYTES = 5_000_000;
const LARGE_TOKEN = "x".repeat(50_000);

describe("an answer that is too large to be buffered", () => {
  const fixture = new EntryFixture();
  let runs = 0;

  // Guards against treating such an answer as one that the endpoint broke off: the request was retried at
  // other endpoints, each of them became suspect, and the caller was told "may_have_run" for a call that
  // had run.
  const writeLargeAnswer: EndpointScript = (socket) => {
    runs++;
    socket.end(
      `HTTP/1.1 200 OK\r\ncontent-length: ${ANSWER_BYTES}\r\nconnection: close\r\n\r\n${
        "x".repeat(ANSWER_BYTES)
      }`,
    );
  };
  const writeLargeStream: EndpointScript = (socket, { id }) => {
    runs++;
    const tokens = ANSWER_BYTES / LARGE_TOKEN.length;
    const frames = Array.from({ length: tokens }, (_, offset) => ({
      id,
      offset,
      token: LARGE_TOKEN,
    }));
    const end = { id, offset: tokens, done: true };
    socket.end(
      `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n${
        [...frames, end].map((frame) => `data: ${JSON.stringify(frame)}\n\n`)
          .join("")
      }`,
    );
  };

  beforeAll(async () => {
    await fixture.start({ pool: 2, notes: 1, badges: 1 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  it("gets the verdict ran again when its key is sent again", async () => {
    const headers = { "idempotency-key": await fixture.newKey("again") };
    const call = fixture.script(writeLargeAnswer);
    const answers = [
      await fixture.plainWithBody("badges", call, headers),
      await fixture.plainWithBody("badges", call, headers),
    ];
    expect(answers.map(({ header }) => header("sassafrasstep-verdict")))
      .toEqual(["ran", "ran"]);
  });

  async function sendRequest(
    kind: string,
  ): Promise<{ verdict: string; body: string }> {
    const key = await fixture.newKey(`key${kind}`);
    const headers = { "idempotency-key": key };
    const answer = kind === "chat"
      ? await fixture.chat(writeLargeStream, { stream: false })
      : kind === "notes"
      ? await fixture.plain("notes", writeLargeAnswer)
      : await fixture.plain("badges", writeLargeAnswer, headers);
    return {
      verdict: answer.header("sassafrasstep-verdict"),
      body: answer.text,
    };
  }

  it.each(["chat", "notes", "badges"])(
    "has run once, and no endpoint becomes suspect: %s",
    async (kind) => {
      runs = 0;
      const { verdict, body } = await sendRequest(kind);
      expect(JSON.parse(body)).toMatchObject({ reason: "answer_not_kept" });
      expect(verdict).toBe("ran");
      expect(runs).toBe(1);
      const suspects = fixture.lines.filter(({ text }) =>
        text === "endpoint: Endpoint is suspect."
      );
      expect(suspects).toEqual([]);
    },
  );
});
