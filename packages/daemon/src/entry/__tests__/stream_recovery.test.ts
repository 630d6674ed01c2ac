import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { Socket } from "node:net";
import { EntryFixture, type Script } from "./entry_fixture.ts";
import {
  eventsOf,
  framesOf,
  judge,
  responseOf,
  TOKENS,
  type Writing,
} from "./stream_fixture.ts";

const WRITING: Writing = { framing: "chunked", newline: "\n", chatty: false };
/** Whole tokens of a part; the event after them is cut in its middle. */
const PART = 3;

/** An answer with a length. */
function plain(status: number, type: string, body: string): string {
  return `HTTP/1.1 ${status} Said\r\ncontent-type: ${type}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Writes some events and a part of the next. */
const writePart: Script = (socket, attempt) => {
  const events = eventsOf(framesOf(attempt), WRITING);
  const cut = events.slice(0, PART).join("").length + events[PART]!.length / 2;
  const { bytes } = responseOf(framesOf(attempt), {
    ...WRITING,
    framing: "closing",
  });
  const body = bytes.indexOf("\r\n\r\n") + 4;
  socket.write(bytes.subarray(0, body + Math.floor(cut)));
};
const writeWhole: Script = (socket, attempt) =>
  socket.write(responseOf(framesOf(attempt), WRITING).bytes);

/** Breaks in the middle of an event, after a moment for what came before. */
const breakOff: Script = (socket, attempt) => {
  writePart(socket, attempt);
  setTimeout(() => socket.destroy(), 10);
};

/** Answers the first attempt by the first script, and so on; the last one stays. */
function inTurn(...scripts: Script[]): Script {
  return (socket, attempt) =>
    scripts[Math.min(attempt.number, scripts.length) - 1]!(socket, attempt);
}

describe("an answer that goes on", () => {
  const fixture = new EntryFixture();

  beforeAll(async () => {
    await fixture.start({ pool: 6 });
  });
  afterAll(async () => {
    await fixture.stop();
  });

  // An engine breaks in the middle of an event, and the one that is asked for the rest says something else
  // than a stream. Such an answer was taken as the answer to the whole request: the stream ended in order,
  // without a word that it was broken, and was counted as served.
  describe("where the next engine says something else than a stream", () => {
    const others: [string, string][] = [
      ["a failure", plain(500, "text/plain", "oops")],
      ["busy", plain(503, "text/plain", "busy")],
      ["too many", plain(429, "text/plain", "slow down")],
      ["not found", plain(404, "text/plain", "nothing here")],
      ["a bad request", plain(400, "application/json", '{"error":"offset"}')],
      ["another kind of answer", plain(200, "application/json", "{}")],
      ["nothing", "HTTP/1.1 204 No Content\r\n\r\n"],
    ];

    it.each(others)("goes on at a third: %s", async (_, other) => {
      const script = inTurn(
        breakOff,
        (socket) => socket.write(other),
        writeWhole,
      );
      expect(judge(await fixture.chat(script))).toBe("whole");
    });

    it.each(others)("ends in sight if all say so: %s", async (_, other) => {
      const script = inTurn(breakOff, (socket) => socket.write(other));
      expect(judge(await fixture.chat(script))).toBe("broken");
    });

    it.each(others)(
      "is refused where it is held until whole: %s",
      async (_, other) => {
        const script = inTurn(breakOff, (socket) => socket.write(other));
        const answer = await fixture.chat(script, { stream: false });
        expect(judge(answer)).toBe("refused");
      },
    );
  });

  it("leaves a line and a count for each time", async () => {
    // Callers got streams that were put together out of two runs, and no line told that a stream had gone
    // on elsewhere, after which token, or that a part of an event had come from the engine before.
    const counted = (): number =>
      Number(
        /^sassafrasstep_streams_resumed_total (\d+)$/m.exec(fixture.metrics)
          ?.[1] ?? 0,
      );
    const before = counted();
    const other = (socket: Socket): unknown =>
      socket.write(plain(404, "text/plain", "nothing here"));
    const ahead: Script = (socket, attempt) => {
      const [first, second, third] = eventsOf(framesOf(attempt), WRITING);
      socket.end(
        `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n${first}${third}${
          second!.slice(0, 9)
        }`,
      );
    };
    const answer = await fixture.chat(inTurn(ahead, other, writeWhole));
    expect(judge(answer)).toBe("whole");
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
    expect(counted() - before).toBe(2);
  });

  describe("that is held until it is whole", () => {
    const breaks: [string, Script][] = [
      ["breaks", breakOff],
      ["closes in order", (socket, attempt) => {
        writePart(socket, attempt);
        setTimeout(() => socket.end(), 10);
      }],
      ["is reset", (socket, attempt) => {
        writePart(socket, attempt);
        setTimeout(() => socket.resetAndDestroy(), 10);
      }],
    ];

    it.each(breaks)(
      "is one run's where an engine %s twice",
      async (_, script) => {
        const answer = await fixture.chat(inTurn(script, script, writeWhole), {
          stream: false,
        });
        const { choices, usage } = JSON.parse(answer.text) as {
          choices: { message: { content: string } }[];
          usage: { completion_tokens: number };
        };
        expect(choices[0]!.message.content).toBe(TOKENS.join(""));
        expect(usage.completion_tokens).toBe(TOKENS.length);
      },
    );

    it.each(breaks)("is refused where each engine %s", async (_, script) => {
      const never: Script = (socket, { startAt, ...attempt }) =>
        script(socket, { ...attempt, startAt: 0 * startAt });
      expect(judge(await fixture.chat(never, { stream: false }))).toBe(
        "refused",
      );
    });
  });

  describe("whose engine falls silent in the middle of an event", () => {
    it.each([true, false])(
      "ends in sight at its deadline, stream %s",
      async (stream) => {
        let engine: Socket | undefined;
        const script: Script = (socket, attempt) => {
          engine = socket;
          writePart(socket, attempt);
        };
        const answer = await fixture.chat(script, {
          stream,
          headers: { "sassafrasstep-deadline-ms": "300" },
        });
        expect(judge(answer)).toBe(stream ? "broken" : "refused");
        expect(answer.text).toContain("deadline");
        await expect.poll(() => engine!.destroyed).toBe(true);
      },
    );
  });
});
