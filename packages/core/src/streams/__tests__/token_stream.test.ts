import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type Frame,
  MAX_BUFFERED_FRAMES,
  parseFrame,
  TokenStream,
} from "../index.ts";

const ID = "r.1";

function token(offset: number, id = ID): Frame {
  return { id, offset, token: `t${offset}` };
}

function end(offset: number): Frame {
  return { id: ID, offset, token: "", done: true };
}

function read(
  frames: readonly Frame[],
  startAt = 0,
): { text: string; whole: boolean; broken: boolean } {
  const stream = new TokenStream(startAt).begin(ID);
  let text = "";
  let broken = false;
  for (const frame of frames) {
    const accepted = stream.accept(frame);
    text += accepted.kind === "tokens" ? accepted.tokens.join("") : "";
    broken ||= accepted.kind === "broken";
  }
  return { text, whole: stream.isWhole, broken };
}

describe("token stream", () => {
  describe("irregular frames", () => {
    const cases: [
      string,
      Frame[],
      { text: string; whole: boolean; broken?: boolean },
    ][] = [
      ["in order", [token(0), token(1), end(2)], { text: "t0t1", whole: true }],
      ["out of order", [token(1), token(0), end(2)], {
        text: "t0t1",
        whole: true,
      }],
      ["end before the last token", [token(0), end(2), token(1)], {
        text: "t0t1",
        whole: true,
      }],
      ["duplicated", [token(0), token(0), token(1), token(1), end(2), end(2)], {
        text: "t0t1",
        whole: true,
      }],
      ["of another request", [token(0), token(1, "other"), token(1), end(2)], {
        text: "t0t1",
        whole: true,
      }],
      ["cut off before the end marker", [token(0), token(1)], {
        text: "t0t1",
        whole: false,
      }],
      ["a gap", [token(0), token(2), end(3)], { text: "t0", whole: false }],
      ["end marker too early", [token(0), token(1), end(1)], {
        text: "t0t1",
        whole: false,
        broken: true,
      }],
      ["token after the end", [token(0), end(1), token(1)], {
        text: "t0",
        whole: true,
        broken: true,
      }],
      ["negative offset", [token(-1)], {
        text: "",
        whole: false,
        broken: true,
      }],
      ["empty answer", [end(0)], { text: "", whole: true }],
    ];

    it.each(cases)("%s", (_, frames, expected) => {
      expect(read(frames)).toEqual({ broken: false, ...expected });
    });

    it("accepts any number of duplicated tokens", () => {
      const count = 2 * MAX_BUFFERED_FRAMES;
      const duplicated = Array.from(
        { length: 2 * count },
        (_, index) => token(index >> 1),
      );
      expect(read([...duplicated, end(count)])).toMatchObject({
        whole: true,
        broken: false,
      });
    });

    it("buffers a bounded number of early tokens", () => {
      const frames = Array.from(
        { length: MAX_BUFFERED_FRAMES + 1 },
        (_, index) => token(index + 1),
      );
      expect(read(frames)).toMatchObject({ text: "", broken: true });
    });
  });

  describe("a stream that is resumed elsewhere", () => {
    it("drops late frames of the previous attempt", () => {
      const stream = new TokenStream();
      const first = stream.begin("r.1");
      first.accept(token(0, "r.1"));
      first.accept(token(2, "r.1"));
      const second = stream.begin("r.2");
      expect(first.accept(token(1, "r.1")).kind).toBe("foreign");
      expect(second.accept(token(1, "r.1")).kind).toBe("foreign");
      expect(second.accept({ ...token(1, "r.2"), token: "b1" })).toMatchObject({
        tokens: ["b1"],
      });
      expect(second.foreign).toBe(1);
    });

    it("is never completed by a superseded attempt", () => {
      const stream = new TokenStream();
      const first = stream.begin("r.1");
      first.accept({ id: "r.1", offset: 1, token: "", done: true });
      const second = stream.begin("r.2");
      second.accept(token(0, "r.2"));
      expect([first.isWhole, second.isWhole]).toEqual([false, false]);
    });

    // Attempts send tokens early, end, are superseded at any time and continue to send. The caller must
    // receive each token once, in order, and from the attempt that was current at that time.
    it("takes nothing from superseded attempts, in any interleaving", () => {
      const step = fc.record({
        attempt: fc.integer({ min: 0, max: 3 }),
        offset: fc.integer({ min: 0, max: 5 }),
        kind: fc.constantFrom("token", "token", "token", "end", "begin"),
      });
      fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const stream = new TokenStream();
        const attempts = [stream.begin("r.0")];
        const text: string[] = [];
        const expected: string[] = [];
        for (const { attempt, offset, kind } of steps) {
          if (kind === "begin") {
            attempts.push(stream.begin(`r.${attempts.length}`));
            continue;
          }
          const number = Math.min(attempt, attempts.length - 1);
          const current = attempts.length - 1;
          const accepted = attempts[number]!.accept({
            id: `r.${number}`,
            offset,
            token: `${number}:${offset}`,
            ...(kind === "end" ? { done: true } : {}),
          });
          const tokens = accepted.kind === "tokens" ? accepted.tokens : [];
          text.push(...tokens);
          tokens.forEach(() => expected.push(`${current}:${expected.length}`));
          if (number !== current && accepted.kind !== "foreign") {
            return false;
          }
          if (
            attempts.some(({ isWhole }, index) => isWhole && index < current)
          ) {
            return false;
          }
        }
        return text.join() === expected.join() && stream.offset === text.length;
      }));
    });
  });

  it("delivers every token once and in order, or is not whole", () => {
    const frames = fc.array(
      fc.record({ offset: fc.integer({ min: 0, max: 6 }), done: fc.boolean() }),
      { maxLength: 30 },
    );
    fc.assert(fc.property(frames, (list) => {
      const { text, whole } = read(
        list.map(({ offset, done }) => done ? end(offset) : token(offset)),
      );
      const count = text === "" ? 0 : text.split("t").length - 1;
      const expected = Array.from({ length: count }, (_, index) => `t${index}`)
        .join("");
      return text === expected &&
        (!whole || list.some(({ offset, done }) => done && offset === count));
    }));
  });

  it("parses any text without throwing", () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      const frame = parseFrame(text);
      return frame === undefined ||
        (typeof frame.id === "string" && typeof frame.offset === "number");
    }));
  });
});
