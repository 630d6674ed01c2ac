import { describe, expect, it } from "vitest";
import { StreamPosition } from "../stream_position.ts";

const NUMBERED = { lastEventId: "3", unnumbered: false };
const UNNUMBERED = { lastEventId: undefined, unnumbered: true };
const COMMENT = { lastEventId: undefined, unnumbered: false };

function after(
  ...passed: readonly Parameters<StreamPosition["passed"]>[0][]
): { lastId: string | undefined; known: boolean } {
  const position = new StreamPosition("1");
  passed.forEach((news) => position.passed(news));
  return { lastId: position.lastId, known: position.known };
}

describe("the position of a stream's caller", () => {
  it("is the one that the caller told, before anything came", () => {
    expect(after()).toEqual({ lastId: "1", known: true });
  });

  it("is the last id, whatever comments follow", () => {
    expect(after(NUMBERED, COMMENT)).toEqual({ lastId: "3", known: true });
  });

  it("is not known after events without an id, whatever comments follow", () => {
    expect(after(NUMBERED, UNNUMBERED).known).toBe(false);
    expect(after(NUMBERED, UNNUMBERED, COMMENT).known).toBe(false);
  });

  it("is known again at the next id", () => {
    expect(after(UNNUMBERED, COMMENT, NUMBERED)).toEqual({
      lastId: "3",
      known: true,
    });
  });
});
