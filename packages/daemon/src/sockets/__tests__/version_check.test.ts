import { describe, expect, it } from "vitest";
import { VersionCheck } from "../index.ts";

const INTERIM =
  "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
const REST = " 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/** Reads an answer in pieces; returns whether each is accepted. */
function accepts(text: string, piece = text.length): boolean {
  const check = new VersionCheck();
  for (let at = 0; at < text.length; at += piece) {
    if (!check.accepts(Buffer.from(text.slice(at, at + piece), "latin1"))) {
      return false;
    }
  }
  return true;
}

describe("the version of an answer", () => {
  describe.each([
    ["", ""],
    [" after empty lines", "\r\n\r\n"],
    [" after interim responses", INTERIM],
    [" after both", `\r\n${INTERIM}\r\n`],
  ])("%s", (_name, before) => {
    it.each(["HTTP/1.1", "HTTP/1.0"])("is accepted if it is %s", (version) => {
      for (let piece = 1; piece < 20; piece++) {
        expect(accepts(before + version + REST, piece)).toBe(true);
      }
      expect(accepts(before + version + REST)).toBe(true);
    });

    it.each([
      "HTTP/0.9",
      "HTTP/2.0",
      "HTTP/1.2",
      "HTTP/1.10",
      "RTSP/1.0",
      "ICE/1.0",
      "http/1.1",
    ])("is not accepted if it is %s", (version) => {
      for (let piece = 1; piece < 20; piece++) {
        expect(accepts(before + version + REST, piece)).toBe(false);
      }
      expect(accepts(before + version + REST)).toBe(false);
    });
  });

  it("is not looked for in bodies", () => {
    expect(accepts(`HTTP/1.1${REST}HTTP/2.0${REST}`, 3)).toBe(true);
  });

  it("is looked for in each answer", () => {
    const check = new VersionCheck();
    expect(check.accepts(Buffer.from(`HTTP/1.1${REST}`))).toBe(true);
    check.reset();
    expect(check.accepts(Buffer.from(`HTTP/2.0${REST}`))).toBe(false);
  });
});
