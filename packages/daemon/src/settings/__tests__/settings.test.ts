import { formatFault } from "@sassafrasstep/core";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseSettings } from "../settings.ts";

const GOOD = `[entry]
id = n1
deployment = demo
region = north
zone = north-a
listen = 127.0.0.1:0
control = 127.0.0.1:0
secret = 0123456789abcdef

[platform]
configuration_url = http://127.0.0.1:9000/
vm_list_url = http://127.0.0.1:9001
`;

function faults(text: string): string {
  const result = parseSettings(text);
  return result.ok ? "" : result.faults.map(formatFault).join("\n");
}

describe("settings", () => {
  it("resolve defaults", () => {
    expect(parseSettings(GOOD)).toMatchObject({
      ok: true,
      settings: {
        heartbeatPeriod: 1_000,
        balancer: "estimate",
        configurationUrl: "http://127.0.0.1:9000",
        seeds: [],
      },
    });
  });

  const cases: [string, string, string][] = [
    [
      "unknown key",
      GOOD.replace("zone =", "zoen ="),
      'Line 5, section "entry", key "zoen": found unknown name "zoen"',
    ],
    [
      "unknown section",
      `${GOOD}[tunnig]\nx = 1\n`,
      'Line 13, section "tunnig"',
    ],
    [
      "bad address",
      GOOD.replace("listen = 127.0.0.1:0", "listen = here"),
      'Line 6, section "entry", key "listen": found "here"',
    ],
    [
      "port too large",
      GOOD.replace("listen = 127.0.0.1:0", "listen = h:70000"),
      "a port up to 65535",
    ],
    [
      "bad URL",
      GOOD.replace("http://127.0.0.1:9001", "ftp://x"),
      "an http URL",
    ],
    [
      "second key",
      GOOD.replace("id = n1", "id = n1\nid = n2"),
      "found a second id",
    ],
    [
      "missing section",
      GOOD.slice(0, GOOD.indexOf("[platform]")),
      'section "platform"',
    ],
    [
      "bad number",
      `${GOOD}[tuning]\nheartbeat_period_ms = fast\n`,
      "a whole number from 50 to 60000",
    ],
  ];

  it.each(cases)(
    "report the line, the key, and what was found and expected: %s",
    (_, text, expected) => {
      expect(faults(text)).toContain(expected);
    },
  );

  it("never quote a secret in a fault", () => {
    expect(faults(GOOD.replace("0123456789abcdef", "hunter2"))).not.toContain(
      "hunter2",
    );
  });

  it("never make the parser throw", () => {
    fc.assert(
      fc.property(
        fc.string(),
        (text) => typeof parseSettings(text).ok === "boolean",
      ),
    );
  });
});
