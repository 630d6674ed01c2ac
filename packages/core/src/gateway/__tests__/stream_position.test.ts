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

  // Guards against a stream that its caller takes up near its end, and that limits its engine as if it had just begun.
  it("tells the events that the caller had before, by ids that count them", () => {
    const position = new StreamPosition("60");
    expect(position.eventsOf(900)).toBe(60);
    position.advance({ lastEventId: "61", unnumbered: false });
    expect(position.eventsOf(900)).toBe(61);
    expect(position.eventsOf(50)).toBe(1);
    expect(new StreamPosition("a-60").eventsOf(900)).toBe(0);
    expect(new StreamPosition(undefined).eventsOf(900)).toBe(0);
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
