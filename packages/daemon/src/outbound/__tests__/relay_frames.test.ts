import {
  type Attempt,
  type AttemptEnd,
  TokenStream,
} from "@sassafrasstep/core";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Caller } from "../../callers/index.ts";
import { relayFrames } from "../relay_frames.ts";

const ATTEMPT = { id: "r.1" } as Attempt;

function token(offset: number, id = "r.1"): string {
  const frame = { id, offset, token: `t${offset}ü` };
  return `data: ${JSON.stringify(frame)}\n\n`;
}

function end(offset: number): string {
  return `data: ${JSON.stringify({ id: "r.1", offset, done: true })}\n\n`;
}

/** Splits a text's bytes into pieces of the given sizes, which are used in turn. */
function splitBytes(text: string, sizes: readonly number[]): Buffer[] {
  const bytes = Buffer.from(text);
  const pieces: Buffer[] = [];
  for (let at = 0, turn = 0; at < bytes.length; turn++) {
    const size = sizes[turn % sizes.length]!;
    pieces.push(bytes.subarray(at, at + size));
    at += size;
  }
  return pieces;
}

/** Relays an answer in the given pieces, and returns what the caller got and how the attempt ended. */
async function relay(
  pieces: readonly Buffer[],
): Promise<{ text: string; ended: boolean; end: AttemptEnd }> {
  let text = "";
  let ended = false;
  const caller = {
    tokens: new TokenStream(),
    writeTokens: (_offset: number, tokens: readonly string[]) => {
      text += tokens.join("");
      return Promise.resolve();
    },
    endTokens: () => ended = true,
  } as unknown as Caller;
  async function* body(): AsyncGenerator<Buffer> {
    yield* pieces;
  }
  const attemptEnd = await relayFrames(body(), {
    attempt: ATTEMPT,
    caller,
    emit: () => {},
  });
  return { text, ended, end: attemptEnd };
}

/** Removes the dropped counts, since how much was read after a break depends on the pieces. */
function withoutDropped(
  { end: attemptEnd, ...rest }: Awaited<ReturnType<typeof relay>>,
): object {
  const detail = attemptEnd.kind === "lost" ? attemptEnd.detail : undefined;
  return { ...rest, kind: attemptEnd.kind, detail };
}

describe("a relayed stream", () => {
  describe("that contradicts itself", () => {
    // Guards against a result that depends on how the network splits the bytes. An end mark with a wrong
    // offset or an error event was overlooked if a valid end mark came in the same read, so the same bytes
    // were either a broken or a complete stream.
    const cases: [string, string][] = [
      ["two end marks", token(0) + token(1) + end(1) + end(2)],
      [
        "an error before the end mark",
        `${token(0)}event: error\ndata: {}\n\n${end(1)}`,
      ],
      ["no frame before the end mark", `${token(0)}data: what\n\n${end(1)}`],
      [
        "a token with an invalid offset",
        token(0) + token(-1) + token(1) + end(2),
      ],
    ];

    it.each(cases)(
      "is lost however its bytes are split: %s",
      async (_, text) => {
        const sizes = [1, 2, 7, 40, Infinity];
        const seen = await Promise.all(
          sizes.map((size) => relay(splitBytes(text, [size]))),
        );
        expect(seen.map(({ end: { kind }, ended }) => ({ kind, ended })))
          .toEqual(sizes.map(() => ({ kind: "lost", ended: false })));
        expect(new Set(seen.map(({ text: tokens }) => tokens)).size).toBe(1);
      },
    );
  });

  it("reports what it dropped of an incomplete event", async () => {
    for (const newline of ["\n", "\r\n"]) {
      const text = `${token(0)}${token(2)}: not whole`.replaceAll(
        "\n",
        newline,
      );
      for (const size of [1, 2, 3, 50, Infinity]) {
        expect((await relay(splitBytes(text, [size]))).end).toMatchObject({
          dropped: { frames: 1, characters: ": not whole".length },
        });
      }
    }
  });

  it("has the same result however its bytes are split", async () => {
    const offset = fc.integer({ min: 0, max: 4 });
    const event = fc.oneof(
      { weight: 6, arbitrary: offset.map((number) => token(number)) },
      { weight: 2, arbitrary: offset.map((number) => end(number)) },
      offset.map((number) => token(number, "another")),
      fc.constantFrom(
        ": comment ü\n\n",
        "event: error\ndata: {}\n\n",
        "data: {\n\n",
        "id: 7\nretry: 1\n\n",
        "data: unfinished",
      ),
    );
    const stream = fc.tuple(
      fc.array(event, { maxLength: 8 }),
      fc.boolean(),
    ).map(([events, crlf]) => {
      const text = events.join("");
      return crlf ? text.replaceAll("\n", "\r\n") : text;
    });
    const sizes = fc.array(fc.integer({ min: 1, max: 90 }), {
      minLength: 1,
      maxLength: 5,
    });
    await fc.assert(
      fc.asyncProperty(stream, sizes, async (text, pieces) => {
        const [byBytes, byPieces] = await Promise.all([
          relay(splitBytes(text, [1])),
          relay(splitBytes(text, pieces)),
        ]);
        expect(withoutDropped(byPieces)).toEqual(withoutDropped(byBytes));
      }),
      { numRuns: 300 },
    );
  });
});
