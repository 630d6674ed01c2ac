import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { EntryFixture, type Script } from "./entry_fixture.ts";

/** More than an entry holds of one answer. */
const BYTES = 5_000_000;
const TOKEN = "x".repeat(50_000);

describe("an answer that is larger than an entry holds", () => {
  const fixture = new EntryFixture();
  let runs = 0;

  // Such an answer was taken for one that its endpoint had broken off: it was asked for again at other
  // endpoints, each became suspect for it, and a call that had run was told as one that may have.
  const large: Script = (socket) => {
    runs++;
    socket.end(
      `HTTP/1.1 200 OK\r\ncontent-length: ${BYTES}\r\nconnection: close\r\n\r\n${
        "x".repeat(BYTES)
      }`,
    );
  };
  const longStream: Script = (socket, { id }) => {
    runs++;
    const tokens = BYTES / TOKEN.length;
    const frames = Array.from({ length: tokens }, (_, offset) => ({
      id,
      offset,
      token: TOKEN,
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

  it("is told so again to a later send of its key", async () => {
    const headers = { "idempotency-key": await fixture.newKey("again") };
    const call = fixture.script(large);
    const answers = [
      await fixture.plainAgain("badges", call, headers),
      await fixture.plainAgain("badges", call, headers),
    ];
    expect(answers.map(({ header }) => header("sassafrasstep-verdict")))
      .toEqual(["ran", "ran"]);
  });

  async function ask(what: string): Promise<{ verdict: string; body: string }> {
    const key = await fixture.newKey(`key${what}`);
    const headers = { "idempotency-key": key };
    const answer = what === "chat"
      ? await fixture.chat(longStream, { stream: false })
      : what === "notes"
      ? await fixture.plain("notes", large)
      : await fixture.plain("badges", large, headers);
    return {
      verdict: answer.header("sassafrasstep-verdict"),
      body: answer.text,
    };
  }

  it.each(["chat", "notes", "badges"])(
    "ran once, and nobody is blamed: %s",
    async (what) => {
      runs = 0;
      const { verdict, body } = await ask(what);
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
