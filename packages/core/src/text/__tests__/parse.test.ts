import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  applyPatch,
  diffDeployments,
  diffText,
  formatFault,
  parseText,
  type TextResult,
} from "../index.ts";

const DIGEST = "a".repeat(64);
const GOOD = `[deployment]
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

function faultsOf(result: TextResult): string[] {
  return result.ok ? [] : result.faults.map(formatFault);
}

describe("operators' text", () => {
  describe("a complete text", () => {
    it.each(["peachtree", "mfuko"])("accepts the example %s", (name) => {
      const url = new URL(
        `../../../../../examples/${name}.ini`,
        import.meta.url,
      );
      expect(faultsOf(parseText(readFileSync(url, "utf8")))).toEqual([]);
    });

    it("resolves defaults once", () => {
      const result = parseText(GOOD);
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

    it("are read with their defaults", () => {
      const result = parseText(GOOD + ROUTE);
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

    it("may have services with weights", () => {
      const result = parseText(
        GOOD + ROUTE.replace("services = pool", "services = pool:90"),
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
    ])("with %s made %s are faulty", (from, to, expected) => {
      const faults = faultsOf(parseText(GOOD + ROUTE.replace(from, to)));
      expect(faults.join("\n")).toContain(
        expected === "repeated" ? "kind" : expected,
      );
    });

    it("have a place of their own", () => {
      const twice = GOOD + ROUTE + ROUTE.replace("route ask", "route again");
      expect(faultsOf(parseText(twice)).join()).toContain(
        'a place that route "ask" does not have',
      );
    });

    it("show in a diff", () => {
      const before = parseText(GOOD + ROUTE);
      const next = parseText(
        GOOD + ROUTE.replace("services = pool", "services = pool:9"),
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

  describe("a faulty text", () => {
    const cases: [string, string, string][] = [
      [
        "unknown key",
        GOOD.replace("zones =", "zonse ="),
        'Line 6, section "region north", key "zonse"',
      ],
      [
        "missing key",
        GOOD.replace("zones = north-a", ""),
        'Line 5, section "region north", key "zones": found nothing',
      ],
      [
        "wrong value",
        GOOD.replace("tail", "speed"),
        'Line 3, section "deployment", key "objective": found "speed"',
      ],
      ["unknown section", `${GOOD}[servise x]\n`, 'section "servise x"'],
      [
        "dotted section",
        `${GOOD}[customer a.b]\nhome = north\n`,
        'section "customer a.b"',
      ],
      [
        "second section",
        `${GOOD}[region north]\nzones = x\n`,
        "expected one only; the first is at line 5",
      ],
      [
        "second key",
        GOOD.replace("pool = pool", "pool = pool\npool = other"),
        "found a second pool",
      ],
      [
        "unknown home",
        GOOD.replace("home = north", "home = south"),
        'found "south", expected a region of this text',
      ],
      [
        "unknown dependency",
        GOOD.replace("regions = north", "regions = north\ndepends_on = x"),
        'found "x"',
      ],
      [
        "own dependency",
        GOOD.replace("regions = north", "regions = north\ndepends_on = pool"),
        "no cycle",
      ],
      ["token in clear", GOOD.replace(DIGEST, "secret"), "64 hex digits"],
      [
        "line of no kind",
        `${GOOD}nonsense\n`,
        "expected [section] or key = value",
      ],
      ["key before sections", `x = 1\n${GOOD}`, "expected [deployment] first"],
      ["no text", "", 'section "deployment": found nothing'],
      ["too large", `; ${"x".repeat(1_048_576)}`, "at most 1048576 bytes"],
    ];

    it.each(cases)(
      "names line, key, found and expected: %s",
      (_, text, expected) => {
        expect(faultsOf(parseText(text)).join("\n")).toContain(expected);
      },
    );

    it("reports all faults at once", () => {
      const text = GOOD.replace("tail", "speed").replace(
        "home = north",
        "home = south",
      ).replace("kind = model", "kind = x");
      expect(faultsOf(parseText(text)).length).toBeGreaterThanOrEqual(2);
    });

    it("finds a cycle over several services", () => {
      const service = (name: string, on: string): string =>
        `[service ${name}]\nkind = plain\nregions = north\ndepends_on = ${on}\n`;
      const text = GOOD + service("a", "b") + service("b", "c") +
        service("c", "a");
      expect(
        faultsOf(parseText(text)).filter((fault) => fault.includes("no cycle")),
      ).toHaveLength(3);
    });

    it("never throws, whatever comes", () => {
      const lines = fc.constantFrom(
        ...GOOD.split("\n"),
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
        fc.property(text, (input) => typeof parseText(input).ok === "boolean"),
      );
    });
  });

  describe("differences", () => {
    it("warns of a change of home", () => {
      const before = parseText(
        `${GOOD}[region south]\nzones = s\n`.replace(
          "regions = north",
          "regions = north, south",
        ),
      );
      const next = parseText(
        `${GOOD}[region south]\nzones = s\n`.replace(
          "regions = north",
          "regions = north, south",
        ).replace(
          "home = north",
          "home = south",
        ),
      );
      if (!before.ok || !next.ok) {
        throw new Error("The texts of the test are faulty");
      }
      expect(diffDeployments(before.deployment, next.deployment)).toEqual([
        expect.objectContaining({
          subject: "customer clinic",
          change: "home: north -> south",
          warning: expect.any(String),
        }),
      ]);
    });

    it("patches any text into any other", () => {
      const text = fc.array(fc.constantFrom("a", "b", "c", "")).map((lines) =>
        lines.join("\n")
      );
      fc.assert(
        fc.property(
          text,
          text,
          (from, to) => applyPatch(from, diffText(from, to)) === to,
        ),
      );
    });

    it("refuses a patch against another base", () => {
      expect(applyPatch("x\ny", diffText("a\nb", "a\nc"))).toBeUndefined();
    });
  });
});
