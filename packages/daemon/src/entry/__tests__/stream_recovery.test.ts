import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { Socket } from "node:net";
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
  framing: "chunked",
  newline: "\n",
  extras: false,
};
/** Complete tokens of a partial stream; the event after them is cut in the middle. */
const PARTIAL_TOKENS = 3;

/** Returns an answer with a content length. */
function plainAnswer(status: number, type: string, body: string): string {
  return `HTTP/1.1 ${status} Said\r\ncontent-type: ${type}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Writes some complete events and half of the next one. */
const writePart: EndpointScript = (socket, attempt) => {
  const events = eventsOf(framesOf(attempt), ENCODING);
  const cut = events.slice(0, PARTIAL_TOKENS).join("").length +
    events[PARTIAL_TOKENS]!.length / 2;
  const { bytes } = responseOf(framesOf(attempt), {
    ...ENCODING,
    framing: "closing",
  });
  const body = bytes.indexOf("\r\n\r\n") + 4;
  socket.write(bytes.subarray(0, body + Math.floor(cut)));
};
const writeWhole: EndpointScript = (socket, attempt) =>
  socket.write(responseOf(framesOf(attempt), ENCODING).bytes);

/** Closes the connection in the middle of an event, after a delay in which the bytes before it arrive. */
const breakOff: EndpointScript = (socket, attempt) => {
  writePart(socket, attempt);
  setTimeout(() => socket.destroy(), 10);
};

/** Answers the nth attempt by the nth script, and all later attempts by the last script. */
function inSequence(...scripts: EndpointScript[]): EndpointScript {
  return (socket, attempt) =>
    scripts[Math.min(attempt.number, scripts.length) - 1]!(socket, attempt);
}

describe("an answer that is resumed at another engine", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ pool: 6 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // Guards against a broken stream that ends without an error. An engine breaks in the middle of an event,
  // and the engine that is asked for the rest answers with something other than a stream. That answer was
  // taken for the answer to the whole request: the stream ended normally and was counted as served.
  describe("where the next engine does not answer with a stream", () => {
    const others: [string, string][] = [
      ["a failure", plainAnswer(500, "text/plain", "oops")],
      ["busy", plainAnswer(503, "text/plain", "busy")],
      ["too many", plainAnswer(429, "text/plain", "slow down")],
      ["not found", plainAnswer(404, "text/plain", "nothing here")],
      [
        "a bad request",
        plainAnswer(400, "application/json", '{"error":"offset"}'),
      ],
      ["another kind of answer", plainAnswer(200, "application/json", "{}")],
      ["nothing", "HTTP/1.1 204 No Content\r\n\r\n"],
    ];

    it.each(others)("is resumed at a third engine: %s", async (_, other) => {
      const script = inSequence(
        breakOff,
        (socket) => socket.write(other),
        writeWhole,
      );
      expect(classifyAnswer(await fixture.chat(script))).toBe("whole");
    });

    it.each(others)(
      "ends with a visible error if all do: %s",
      async (_, other) => {
        const script = inSequence(breakOff, (socket) => socket.write(other));
        expect(classifyAnswer(await fixture.chat(script))).toBe("broken");
      },
    );

    it.each(others)(
      "is refused if it is not streamed to the caller: %s",
      async (_, other) => {
        const script = inSequence(breakOff, (socket) => socket.write(other));
        const answer = await fixture.chat(script, { stream: false });
        expect(classifyAnswer(answer)).toBe("refused");
      },
    );
  });

  it("is logged and counted for each resumption", async () => {
    // Guards against silent resumptions: callers got streams that were joined from two runs, and no log line
    // said that a stream had been resumed, after which token, or that a partial event had been dropped.
    const resumedCount = (): number =>
      Number(
        /^sassafrasstep_streams_resumed_total (\d+)$/m.exec(fixture.metrics)
          ?.[1] ?? 0,
      );
    const before = resumedCount();
    const other = (socket: Socket): unknown =>
      socket.write(plainAnswer(404, "text/plain", "nothing here"));
    const skipToken: EndpointScript = (socket, attempt) => {
      const [first, second, third] = eventsOf(framesOf(attempt), ENCODING);
      socket.end(
        `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n${first}${third}${
          second!.slice(0, 9)
        }`,
      );
    };
    const answer = await fixture.chat(inSequence(skipToken, other, writeWhole));
    expect(classifyAnswer(answer)).toBe("whole");
    const request = answer.header("sassafrasstep-request");
    const lines = fixture.lines.filter(({ text, fields }) =>
      text === "route: Stream goes on elsewhere." &&
      fields["request"] === request
    ).map(({ fields }) => fields);
    expect(lines).toMatchObject([
      {
        afterToken: 1,
        leftFor: "The stream ended without its end mark",
        droppedFrames: 1,
        droppedCharacters: 9,
      },
      {
        afterToken: 1,
        leftFor: "Answered 404 instead of a stream",
        droppedFrames: 0,
        droppedCharacters: 0,
      },
    ]);
    expect(lines[1]!["from"]).toBe(lines[0]!["endpoint"]);
    expect(resumedCount() - before).toBe(2);
  });

  describe("that is buffered for a caller without streaming", () => {
    const breaks: [string, EndpointScript][] = [
      ["breaks", breakOff],
      ["closes normally", (socket, attempt) => {
        writePart(socket, attempt);
        setTimeout(() => socket.end(), 10);
      }],
      ["is reset", (socket, attempt) => {
        writePart(socket, attempt);
        setTimeout(() => socket.resetAndDestroy(), 10);
      }],
    ];

    it.each(breaks)(
      "carries the output of one run if an engine %s twice",
      async (_, script) => {
        const answer = await fixture.chat(
          inSequence(script, script, writeWhole),
          {
            stream: false,
          },
        );
        const { choices, usage } = JSON.parse(answer.text) as {
          choices: { message: { content: string } }[];
          usage: { completion_tokens: number };
        };
        expect(choices[0]!.message.content).toBe(TOKENS.join(""));
        expect(usage.completion_tokens).toBe(TOKENS.length);
      },
    );

    it.each(breaks)("is refused if every engine %s", async (_, script) => {
      const alwaysBreak: EndpointScript = (socket, { startAt, ...attempt }) =>
        script(socket, { ...attempt, startAt: 0 * startAt });
      expect(classifyAnswer(await fixture.chat(alwaysBreak, { stream: false })))
        .toBe(
          "refused",
        );
    });
  });

  describe("whose engine falls silent in the middle of an event", () => {
    it.each([true, false])(
      "ends with a visible error at its deadline, stream %s",
      async (stream) => {
        let engine: Socket | undefined;
        const script: EndpointScript = (socket, attempt) => {
          engine = socket;
          writePart(socket, attempt);
        };
        const answer = await fixture.chat(script, {
          stream,
          headers: { "sassafrasstep-deadline-ms": "300" },
        });
        expect(classifyAnswer(answer)).toBe(stream ? "broken" : "refused");
        expect(answer.text).toContain("deadline");
        await expect.poll(() => engine!.destroyed).toBe(true);
      },
    );
  });
});
