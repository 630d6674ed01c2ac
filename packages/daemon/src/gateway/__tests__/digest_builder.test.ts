import type { IncomingMessage } from "node:http";
import type { Incarnation, RepetitionDigests } from "@sassafrasstep/core";
import { describe, expect, it } from "vitest";
import { DigestBuilder } from "../digest_builder.ts";
import { formatRelayHeader, parseRelayHeader } from "../relay_header.ts";

function digests(
  { host = "a.example", url = "/p/x", from = "10.0.0.1", chunks = ["body"] },
): RepetitionDigests {
  const builder = new DigestBuilder({
    headers: { host },
    url,
    socket: { remoteAddress: from },
  } as unknown as IncomingMessage);
  chunks.forEach((chunk) => builder.update(Buffer.from(chunk)));
  return builder.build();
}

describe("digests of a request", () => {
  const first = digests({});

  it("is the same for each retry, however its body is chunked", () => {
    expect(digests({ chunks: ["bo", "", "dy"] })).toEqual(first);
    expect(digests({ host: "A.example" })).toEqual(first);
  });

  it.each([
    ["body", { chunks: ["bodz"] }],
    ["path", { url: "/p/y" }],
    ["query", { url: "/p/x?a=1" }],
    ["host", { host: "b.example" }],
    ["end of the path", { url: "/p/xbody", chunks: [""] }],
  ])("differs with the %s", (_what, change) => {
    expect(digests(change).content).not.toBe(first.content);
  });

  it("distinguishes callers without changing the content digest", () => {
    const other = digests({ from: "10.0.0.2" });
    expect(other.content).toBe(first.content);
    expect(other.caller).not.toBe(first.caller);
  });

  it("has the same size for any body", () => {
    const large = digests({ chunks: ["x".repeat(1_000_000)] });
    expect(large.content.length).toBe(first.content.length);
  });

  it("is preserved when the request is relayed", () => {
    const relay = { from: "abc" as Incarnation, sentBefore: 2 };
    expect(parseRelayHeader(formatRelayHeader(relay, first))).toEqual({
      relay,
      digests: first,
    });
  });

  it.each([undefined, "", "abc", "abc;1", "abc;1;;c", "abc;x;d;c", ["a"]])(
    "is not read from an invalid relay header: %o",
    (text) => {
      expect(parseRelayHeader(text)).toBeUndefined();
    },
  );
});
