import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { type EndpointScript, EntryFixture } from "./entry_fixture.ts";
import {
  classifyAnswer,
  eventsOf,
  framesOf,
  responseOf,
  type StreamEncoding,
  TOKENS,
} from "./stream_fixture.ts";

const ENCODING: StreamEncoding = {
  framing: "closing",
  newline: "\n",
  extras: false,
};
const OFFSETS = Array.from(
  { length: TOKENS.length + 1 },
  (_, offset) => offset,
);

/** Closes in the middle of each attempt's third event, and answers completely from the third attempt on. */
const breakTwice: EndpointScript = (socket, attempt) => {
  const { bytes } = responseOf(framesOf(attempt), ENCODING);
  const events = eventsOf(framesOf(attempt), ENCODING);
  const head = bytes.length - Buffer.byteLength(events.join(""));
  const part = Buffer.byteLength(events.slice(0, 2).join("")) + 10;
  socket.end(
    attempt.number > 2 ? bytes : bytes.subarray(0, head + part),
  );
};

describe("a stream that is resumed from an offset", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ pool: 3 }, { entries: 2 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  describe("by the caller, at another entry", () => {
    it.each(OFFSETS)("gives exactly what follows event %i", async (offset) => {
      const before = await fixture.chat(breakTwice);
      expect(classifyAnswer(before)).toBe("whole");
      const ids = [...before.text.matchAll(/^id: (.*)$/gm)].map(([, id]) => id);
      expect(ids.length).toBe(TOKENS.length);
      const headers = offset === 0 ? {} : { "last-event-id": ids[offset - 1]! };
      const rest = await fixture.chat(breakTwice, { headers, entry: 1 });
      expect(classifyAnswer(rest, offset)).toBe("whole");
    });

    it("is refused for an offset beyond the end", async () => {
      const headers = { "last-event-id": `n1-0000-1:${TOKENS.length + 2}` };
      const rest = await fixture.chat(breakTwice, { headers, entry: 1 });
      expect(classifyAnswer(rest, TOKENS.length + 2)).toBe("refused");
    });
  });

  describe("by another entry", () => {
    it.each(OFFSETS)("gives exactly the frames from %i", async (startAt) => {
      const id = `n9-1234-${startAt}.1`;
      const headers = fixture.peerHeaders(id, startAt);
      const answer = await fixture.chat(breakTwice, { headers, stream: false });
      const frames = framesOf({ id, number: 1, startAt });
      expect(answer.text).toBe(eventsOf(frames, ENCODING).join(""));
    });

    it("ends with a visible error if no engine answers completely", async () => {
      const id = "n9-1234-x.1";
      const alwaysBreak: EndpointScript = (socket, attempt) =>
        breakTwice(socket, { ...attempt, startAt: 0, number: 1 });
      const answer = await fixture.chat(alwaysBreak, {
        headers: fixture.peerHeaders(id, 0),
      });
      const whole = eventsOf(framesOf({ id, number: 1, startAt: 0 }), ENCODING);
      const part = whole.slice(0, 2).join("");
      expect(answer.text.startsWith(part)).toBe(true);
      expect(answer.text.slice(part.length)).toMatch(
        /^event: error\ndata: [^\n]*\n\n$/,
      );
    });
  });
});
