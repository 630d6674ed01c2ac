import { describe, expect, it } from "vitest";
import { parseSocketAddress } from "../index.ts";

describe("an address", () => {
  it.each([
    ["127.0.0.1:1", { host: "127.0.0.1", port: 1 }],
    ["127.0.0.1:65535", { host: "127.0.0.1", port: 65_535 }],
    ["entry-1.internal:80", { host: "entry-1.internal", port: 80 }],
    ["::1:80", { host: "::1", port: 80 }],
  ])("%s is parsed", (text, address) => {
    expect(parseSocketAddress(text)).toEqual(address);
  });

  it.each([
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    ":80",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:80800",
    "127.0.0.1:-1",
    "127.0.0.1:+1",
    "127.0.0.1:1e3",
    "127.0.0.1:0x50",
    "127.0.0.1:80 ",
    "127.0.0.1 :80",
    "127.0.0.1/x:80",
    "a@127.0.0.1:80",
    "127.0.0.1\r\n:80",
    `${"a".repeat(254)}:80`,
  ])("%j is rejected", (text) => {
    expect(parseSocketAddress(text)).toBeUndefined();
  });
});
