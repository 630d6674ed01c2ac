import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseChatBody, prefixBlocks } from "../chat_body.ts";
import { CompletionFormat, formatCompletion } from "../chat_format.ts";

const COMPLETION = {
  request: "r1",
  model: "guest-8b",
  createdAt: 1_700_000_000,
};

function bytes(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

describe("chat completions", () => {
  describe("bodies", () => {
    it("accept content as text and as parts", () => {
      const content = [{ type: "text", text: "hello" }];
      expect(
        parseChatBody(
          bytes({ stream: true, messages: [{ role: "user", content }] }),
        ),
      ).toMatchObject({ stream: true });
    });

    const faulty: [string, Uint8Array, string][] = [
      ["no JSON", Buffer.from("{"), "not JSON"],
      ["no messages", bytes({}), 'Field "messages"'],
      ["empty messages", bytes({ messages: [] }), 'Field "messages"'],
      [
        "invalid content",
        bytes({ messages: [{ role: "user", content: 7 }] }),
        'Field "messages.0.content"',
      ],
      [
        "invalid stream flag",
        bytes({ stream: "yes", messages: [{ role: "user", content: "x" }] }),
        'Field "stream"',
      ],
    ];

    it.each(faulty)("report the fault: %s", (_, body, expected) => {
      expect(parseChatBody(body)).toMatchObject({
        fault: expect.stringContaining(expected),
      });
    });

    it("never make the parser throw", () => {
      const any = fc.oneof(
        fc.uint8Array(),
        fc.json().map((text) => Buffer.from(text)),
      );
      fc.assert(fc.property(any, (body) => {
        parseChatBody(body);
      }));
    });
  });

  describe("prefix blocks", () => {
    it("are equal for the common prefix of two prompts", () => {
      const common = "policy ".repeat(200);
      const [first, second] = [
        prefixBlocks(`${common}a`.repeat(2)),
        prefixBlocks(`${common}b`.repeat(2)),
      ];
      const shared =
        first.filter((block, index) => block === second[index]).length;
      expect(shared).toBe(Math.floor(common.length / 256));
    });
  });

  describe("the encoded stream", () => {
    const format = new CompletionFormat(COMPLETION);
    const wire = format.tokens({ offset: 0, tokens: [" he", ' "llo"'] }) +
      format.end();

    it("consists of chunks in the common format, ended by [DONE]", () => {
      const events = wire.trim().split("\n\n").map((event) =>
        event.split("\n").at(-1)!.slice("data: ".length)
      );
      expect(events.at(-1)).toBe("[DONE]");
      const chunks = events.slice(0, -1).map((event) => JSON.parse(event));
      const base = {
        id: "chatcmpl-r1",
        object: "chat.completion.chunk",
        created: COMPLETION.createdAt,
        model: "guest-8b",
      };
      expect(chunks).toEqual([
        {
          ...base,
          choices: [{
            index: 0,
            delta: { role: "assistant", content: " he" },
            finish_reason: null,
          }],
        },
        {
          ...base,
          choices: [{
            index: 0,
            delta: { content: ' "llo"' },
            finish_reason: null,
          }],
        },
        { ...base, choices: [{ index: 0, delta: {}, finish_reason: "stop" }] },
      ]);
    });

    it("numbers events so that a caller can resume after any of them", () => {
      expect(wire.match(/^id: .*$/gm)).toEqual(["id: r1:1", "id: r1:2"]);
    });

    it("ends a failure with an event that common clients treat as an error, without [DONE]", () => {
      const problem = {
        type: "t",
        title: "x",
        status: 502,
        detail: "lost",
        reason: "endpoint_failed",
        verdict: "ran",
        request: "r1",
      };
      const failure = format.failure(problem);
      expect(failure).toMatch(
        /^event: error\ndata: \{"error":\{"message":"lost"/,
      );
      expect(failure).not.toContain("[DONE]");
    });
  });

  it("formats a complete answer in the common format", () => {
    const whole = JSON.parse(
      formatCompletion(COMPLETION, {
        text: "hello",
        promptTokens: 3,
        tokens: 1,
      }),
    );
    expect(whole).toMatchObject({
      object: "chat.completion",
      choices: [{
        message: { role: "assistant", content: "hello" },
        finish_reason: "stop",
      }],
      usage: { prompt_tokens: 3, completion_tokens: 1, total_tokens: 4 },
    });
  });
});
