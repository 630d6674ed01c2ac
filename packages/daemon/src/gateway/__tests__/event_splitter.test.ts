import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventSplitter } from "../event_splitter.ts";

function feed(chunks: readonly string[]): { out: string; ids: unknown[] } {
  const cutter = new EventSplitter();
  let out = "";
  const ids: unknown[] = [];
  for (const chunk of chunks) {
    const events = cutter.push(Buffer.from(chunk));
    if (events !== undefined) {
      out += events.bytes.toString();
      ids.push(events.lastId);
    }
  }
  return { out, ids };
}

describe("event splitter", () => {
  const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  it("returns complete events with the last id", () => {
    expect(feed([whole])).toEqual({ out: whole, ids: ["2"] });
  });

  it("returns the same bytes however they are chunked", () => {
    for (let at = 1; at < whole.length; at++) {
      expect(feed([whole.slice(0, at), whole.slice(at)]).out).toBe(whole);
    }
    expect(feed([...whole]).out).toBe(whole);
  });

  it("returns the same bytes and ids however they are chunked, for all line ends", () => {
    const text = "id: 1\r\ndata: a\r\n\r\n: c\n\r\nid: 2\ndata: b\r\n\n\n" +
      "id: 3\ndata: c\n\n\r\n";
    for (let at = 0; at < text.length; at++) {
      for (let then = at; then < text.length; then++) {
        const cutter = new EventSplitter();
        const out = [
          text.slice(0, at),
          text.slice(at, then),
          text.slice(then),
        ].map((part) => cutter.push(Buffer.from(part)));
        const output = Buffer.concat([
          ...out.map((events) => events?.bytes ?? Buffer.alloc(0)),
          cutter.remainder,
        ]).toString();
        const ids = out.map((events) => events?.lastId).filter(Boolean);
        expect({
          output,
          last: ids.at(-1),
          unfinished: cutter.unfinishedBytes,
        })
          .toEqual({ output: text, last: "3", unfinished: 0 });
      }
    }
  });

  // Guards against an event that is read differently because it arrived in one piece.
  it("reads an event in one piece as it reads one in two", () => {
    const line = fc.constantFrom(
      "id: 1",
      "id:2 ",
      "id:",
      "id",
      "id: 3\r",
      " id: 4",
      "data: a",
      "data: id: 5",
      "data",
      ": comment",
      ":\rdata: b",
      "x\r:c",
      "event: e",
    );
    const text = fc.array(line, { minLength: 1, maxLength: 4 })
      .map((lines) => `${lines.join("\n")}\n\n`);
    fc.assert(
      fc.property(text, text, (before, event) => {
        const [whole, pieces] = [new EventSplitter(), new EventSplitter()];
        for (const splitter of [whole, pieces]) {
          splitter.push(Buffer.from(before));
        }
        pieces.push(Buffer.from(event.slice(0, -1)));
        expect(whole.push(Buffer.from(event)))
          .toEqual(pieces.push(Buffer.from("\n")));
        expect(whole.remainder).toEqual(pieces.remainder);
        expect(whole.unfinishedBytes).toBe(pieces.unfinishedBytes);
      }),
      { numRuns: 2_000 },
    );
  });

  it("buffers an incomplete event", () => {
    const cutter = new EventSplitter();
    const events = cutter.push(Buffer.from(`${whole}id: 3\nda`));
    expect(events?.bytes.toString()).toBe(whole);
    expect(cutter.remainder.toString()).toBe("id: 3\nda");
    expect(cutter.push(Buffer.from("ta: c\n\n"))?.bytes.toString()).toBe(
      "id: 3\ndata: c\n\n",
    );
    expect(cutter.remainder.length).toBe(0);
  });

  it("does not treat a separate blank line as an event", () => {
    const cutter = new EventSplitter();
    cutter.push(Buffer.from(whole));
    cutter.push(Buffer.from("\n"));
    expect(cutter.unfinishedBytes).toBe(0);
    cutter.push(Buffer.from("i"));
    expect(cutter.unfinishedBytes).toBeGreaterThan(0);
  });

  it("recognizes events whose lines end with carriage returns", () => {
    const text = "id: 7\r\ndata: a\r\n\r\n";
    expect(feed([text])).toEqual({ out: text, ids: ["7"] });
  });

  it("reads an id that is not on the first line", () => {
    expect(feed(["x-note: 4\nid: 9\ndata: a\n\n"]).ids).toEqual(["9"]);
    expect(feed(["data: a\n\n"]).ids).toEqual([undefined]);
  });

  it("buffers comments until the event that follows them", () => {
    const cutter = new EventSplitter();
    const bytesOf = (text: string): string | undefined =>
      cutter.push(Buffer.from(text))?.bytes.toString();
    expect(bytesOf(": still there\n\n")).toBe(undefined);
    expect(bytesOf("id: 1\ndata: a\n\n: again\r\n\r\n")).toBe(
      ": still there\n\nid: 1\ndata: a\n\n",
    );
    expect(bytesOf(": more\n\n")).toBe(undefined);
    expect(cutter.unfinishedBytes).toBe(0);
    expect(cutter.remainder.toString()).toBe(": again\r\n\r\n: more\n\n");
  });

  it.each([
    ["data: a\n\n", true],
    ["id: 1\ndata: a\n\n", false],
    ["data: a\nid: 1\n\n", false],
    ["id: 1\ndata: a\n\ndata: b\n\n", true],
    ["id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", true],
    ["data: a\n\nid: 2\ndata: b\n\n", false],
    ["id: 1\ndata: a\n\n: still there\n\n", false],
    ["id: 4\ndata: a\n\nid:\ndata: b\n\n", true],
    ["id:\ndata: a\n\nid: 5\ndata: b\n\n", false],
  ])("detects events without an id in %j: %s", (text, expected) => {
    expect(new EventSplitter().push(Buffer.from(text))?.unnumbered).toBe(
      expected,
    );
  });

  // Comments are buffered until an event follows. When all buffered comments were joined and searched again
  // for each new one, an endpoint that sent 1 MB of comments blocked the process for seconds.
  it("processes many comments in linear time", () => {
    const timeOf = (count: number): number => {
      const cutter = new EventSplitter();
      const comment = Buffer.from(": a comment of a few words\n\n");
      const from = performance.now();
      for (let index = 0; index < count; index++) {
        cutter.push(comment);
      }
      return performance.now() - from;
    };
    // The minimum of several runs: other load on the machine only ever lengthens a run.
    const least = (count: number): number =>
      Math.min(...Array.from({ length: 4 }, () => timeOf(count)));
    expect(least(16_000)).toBeLessThan(least(2_000) * 8 * 4);
  });
});
