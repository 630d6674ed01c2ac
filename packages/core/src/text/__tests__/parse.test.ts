import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  applyPatch,
  createTextPatch,
  diffDeployments,
  formatFault,
  parseConfiguration,
  type ParseResult,
} from "../index.ts";

const DIGEST = "a".repeat(64);
const VALID_TEXT = `[deployment]
name = demo
objective = tail

[region north]
zones = north-a

[service pool]
kind = model
model = m@v1
pool = pool
regions = north

[customer clinic]
home = north
token_sha256 = ${DIGEST}
`;

function faultsOf(result: ParseResult): string[] {
  return result.ok ? [] : result.faults.map(formatFault);
}

describe("configuration text", () => {
  describe("a complete text", () => {
    it.each(["peachtree", "mfuko"])("accepts the example %s", (name) => {
      const url = new URL(
        `../../../../../examples/${name}.ini`,
        import.meta.url,
      );
      expect(faultsOf(parseConfiguration(readFileSync(url, "utf8")))).toEqual(
        [],
      );
    });

    it("fills in defaults", () => {
      const result = parseConfiguration(VALID_TEXT);
      const customer = result.ok
        ? [...result.deployment.customers.values()][0]
        : undefined;
      expect(customer).toMatchObject({
        bound: true,
        limit: { unit: "requests", perSecond: 50 },
        classes: ["screen", "summary"],
      });
    });
  });

  describe("routes", () => {
    const ROUTE = `
[route ask]
host = kiosk.example
path = /ask/
services = pool
kind = stream
resumable = yes
attempts = 2
homes = north
`;

    it("are parsed with their defaults", () => {
      const result = parseConfiguration(VALID_TEXT + ROUTE);
      const route = result.ok
        ? [...result.deployment.routes.values()][0]
        : undefined;
      expect(route).toMatchObject({
        host: "kiosk.example",
        pathPrefix: "/ask/",
        targets: [{ service: "pool", weight: 1 }],
        attempts: 2,
        timeout: 15_000,
        priority: 1,
        homes: ["north"],
        resumable: true,
      });
    });

    it("accept services with weights", () => {
      const result = parseConfiguration(
        VALID_TEXT + ROUTE.replace("services = pool", "services = pool:90"),
      );
      expect(result.ok && [...result.deployment.routes.values()][0]!.targets)
        .toEqual([{ service: "pool", weight: 90 }]);
    });

    it.each([
      ["path = /ask/", "path = ask", "ends with a slash"],
      ["services = pool", "services = pol", "a service of this text"],
      ["services = pool", "services = pool:0", "a weight above 0"],
      ["homes = north", "homes = south", "a region that has"],
      ["kind = stream", "kind = idempotent", "kind = stream"],
      ["resumable = yes\n", "kind = non_idempotent\n", "repeated"],
      ["kind = stream\nresumable = yes", "kind = non_idempotent", "1: a call"],
      ["host = kiosk.example", "host = Kiosk", "lower case"],
    ])("are invalid with %s replaced by %s", (from, to, expected) => {
      const faults = faultsOf(
        parseConfiguration(VALID_TEXT + ROUTE.replace(from, to)),
      );
      expect(faults.join("\n")).toContain(
        expected === "repeated" ? "kind" : expected,
      );
    });

    it("must have distinct hosts and paths", () => {
      const twice = VALID_TEXT + ROUTE +
        ROUTE.replace("route ask", "route again");
      expect(faultsOf(parseConfiguration(twice)).join()).toContain(
        'a place that route "ask" does not have',
      );
    });

    it("appear in a diff", () => {
      const before = parseConfiguration(VALID_TEXT + ROUTE);
      const next = parseConfiguration(
        VALID_TEXT + ROUTE.replace("services = pool", "services = pool:9"),
      );
      const changes = before.ok && next.ok
        ? diffDeployments(before.deployment, next.deployment)
        : [];
      expect(changes).toEqual([{
        subject: "route ask",
        change:
          'targets: [{"service":"pool","weight":1}] -> [{"service":"pool","weight":9}]',
      }]);
    });
  });

  describe("an invalid text", () => {
    const cases: [string, string, string][] = [
      [
        "unknown key",
        VALID_TEXT.replace("zones =", "zonse ="),
        'Line 6, section "region north", key "zonse"',
      ],
      [
        "missing key",
        VALID_TEXT.replace("zones = north-a", ""),
        'Line 5, section "region north", key "zones": found nothing',
      ],
      [
        "wrong value",
        VALID_TEXT.replace("tail", "speed"),
        'Line 3, section "deployment", key "objective": found "speed"',
      ],
      ["unknown section", `${VALID_TEXT}[servise x]\n`, 'section "servise x"'],
      [
        "dotted section",
        `${VALID_TEXT}[customer a.b]\nhome = north\n`,
        'section "customer a.b"',
      ],
      [
        "second section",
        `${VALID_TEXT}[region north]\nzones = x\n`,
        "expected one only; the first is at line 5",
      ],
      [
        "second key",
        VALID_TEXT.replace("pool = pool", "pool = pool\npool = other"),
        "found a second pool",
      ],
      [
        "unknown home",
        VALID_TEXT.replace("home = north", "home = south"),
        'found "south", expected a region of this text',
      ],
      [
        "unknown dependency",
        VALID_TEXT.replace(
          "regions = north",
          "regions = north\ndepends_on = x",
        ),
        'found "x"',
      ],
      [
        "own dependency",
        VALID_TEXT.replace(
          "regions = north",
          "regions = north\ndepends_on = pool",
        ),
        "no cycle",
      ],
      ["token in clear", VALID_TEXT.replace(DIGEST, "secret"), "64 hex digits"],
      [
        "line without key or section",
        `${VALID_TEXT}nonsense\n`,
        "expected [section] or key = value",
      ],
      [
        "key before any section",
        `x = 1\n${VALID_TEXT}`,
        "expected [deployment] first",
      ],
      ["empty text", "", 'section "deployment": found nothing'],
      ["too large", `; ${"x".repeat(1_048_576)}`, "at most 1048576 bytes"],
    ];

    it.each(cases)(
      "is reported with line, key, found and expected value: %s",
      (_, text, expected) => {
        expect(faultsOf(parseConfiguration(text)).join("\n")).toContain(
          expected,
        );
      },
    );

    it("is reported with all its faults", () => {
      const text = VALID_TEXT.replace("tail", "speed").replace(
        "home = north",
        "home = south",
      ).replace("kind = model", "kind = x");
      expect(faultsOf(parseConfiguration(text)).length).toBeGreaterThanOrEqual(
        2,
      );
    });

    it("may have a dependency cycle over several services", () => {
      const service = (name: string, on: string): string =>
        `[service ${name}]\nkind = plain\nregions = north\ndepends_on = ${on}\n`;
      const text = VALID_TEXT + service("a", "b") + service("b", "c") +
        service("c", "a");
      expect(
        faultsOf(parseConfiguration(text)).filter((fault) =>
          fault.includes("no cycle")
        ),
      ).toHaveLength(3);
    });

    it("never causes an exception", () => {
      const lines = fc.constantFrom(
        ...VALID_TEXT.split("\n"),
        "[__proto__]",
        "a[] = 1",
        "[]",
        "=",
        "[deployment]x",
        "\u0000",
      );
      const text = fc.oneof(
        fc.string(),
        fc.array(lines).map((parts) => parts.join("\n")),
      );
      fc.assert(
        fc.property(
          text,
          (input) => typeof parseConfiguration(input).ok === "boolean",
        ),
      );
    });
  });

  describe("diffs and patches", () => {
    it("warn about a changed home", () => {
      const before = parseConfiguration(
        `${VALID_TEXT}[region south]\nzones = s\n`.replace(
          "regions = north",
          "regions = north, south",
        ),
      );
      const next = parseConfiguration(
        `${VALID_TEXT}[region south]\nzones = s\n`.replace(
          "regions = north",
          "regions = north, south",
        ).replace(
          "home = north",
          "home = south",
        ),
      );
      if (!before.ok || !next.ok) {
        throw new Error("The configuration texts of this test are invalid");
      }
      expect(diffDeployments(before.deployment, next.deployment)).toEqual([
        expect.objectContaining({
          subject: "customer clinic",
          change: "home: north -> south",
          warning: expect.any(String),
        }),
      ]);
    });

    it("turn any text into any other", () => {
      const text = fc.array(fc.constantFrom("a", "b", "c", "")).map((lines) =>
        lines.join("\n")
      );
      fc.assert(
        fc.property(
          text,
          text,
          (from, to) => applyPatch(from, createTextPatch(from, to)) === to,
        ),
      );
    });

    it("are refused for another base text", () => {
      expect(applyPatch("x\ny", createTextPatch("a\nb", "a\nc")))
        .toBeUndefined();
    });
  });
});
