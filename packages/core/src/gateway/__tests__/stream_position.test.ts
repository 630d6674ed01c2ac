import { describe, expect, it } from "vitest";
import { StreamPosition } from "../stream_position.ts";

const NUMBERED = { lastEventId: "3", unnumbered: false };
const UNNUMBERED = { lastEventId: undefined, unnumbered: true };
const COMMENT = { lastEventId: undefined, unnumbered: false };

function after(
  ...passed: readonly Parameters<StreamPosition["advance"]>[0][]
): { lastId: string | undefined; known: boolean } {
  const position = new StreamPosition("1");
  passed.forEach((news) => position.advance(news));
  return { lastId: position.lastId, known: position.known };
}

describe("the position of a stream's caller", () => {
  it("is the one that the caller stated, until events are sent", () => {
    expect(after()).toEqual({ lastId: "1", known: true });
  });

  it("is the last id, even if comments follow", () => {
    expect(after(NUMBERED, COMMENT)).toEqual({ lastId: "3", known: true });
  });

  it("is unknown after events without an id, even if comments follow", () => {
    expect(after(NUMBERED, UNNUMBERED).known).toBe(false);
    expect(after(NUMBERED, UNNUMBERED, COMMENT).known).toBe(false);
  });

  it("is known again after the next id", () => {
    expect(after(UNNUMBERED, COMMENT, NUMBERED)).toEqual({
      lastId: "3",
      known: true,
    });
  });

  // Guards against an answer that counts as further than it is, since its events arrive in pieces.
  it("counts events, and neither comments nor pieces of events", () => {
    const position = new StreamPosition("1");
    expect(position.advance(NUMBERED)).toBe(true);
    expect(position.advance(COMMENT)).toBe(false);
    expect(position.advance(UNNUMBERED)).toBe(true);
    expect(position.events).toBe(2);
  });
});
