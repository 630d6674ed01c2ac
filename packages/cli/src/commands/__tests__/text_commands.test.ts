import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, describe, expect, it } from "vitest";
import { checkFile, diffFiles } from "../configuration_commands.ts";

const EXAMPLE = fileURLToPath(
  new URL("../../../../../examples/peachtree.ini", import.meta.url),
);
const folder = mkdtempSync(join(tmpdir(), "sassafrasstep-cli-"));

function write(name: string, change: (text: string) => string): string {
  const path = join(folder, name);
  writeFileSync(path, change(readFileSync(EXAMPLE, "utf8")));
  return path;
}

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe("check", () => {
  it("accepts a valid text", () => {
    expect(checkFile(EXAMPLE)).toMatchObject({
      exitCode: 0,
      json: { ok: true, name: "peachtree" },
    });
  });

  it("reports every fault of an invalid text, and fails", () => {
    const path = write(
      "faulty.ini",
      (text) =>
        text.replace("kind = plain", "kind = plane").replace(
          "objective = tail",
          "objective = tale",
        ),
    );
    const { exitCode, text } = checkFile(path);
    expect(exitCode).toBe(1);
    expect(text).toContain('key "objective": found "tale"');
    expect(text).toContain("found plane, expected model or plain");
  });

  it("reports a file that cannot be read", () => {
    expect(() => checkFile(join(folder, "missing.ini"))).toThrow(
      /Cannot read ".*missing.ini"/,
    );
  });
});

describe("diff", () => {
  it("lists changes and warns about a changed home", () => {
    const path = write(
      "moved.ini",
      (text) =>
        text.replace(
          "home = atlanta\nbound = yes",
          "home = macon\nbound = yes",
        ),
    );
    const { text } = diffFiles(EXAMPLE, path);
    expect(text).toContain("customer clinic-north  home: atlanta -> macon");
    expect(text).toContain("A change of home");
  });

  it("reports that nothing would change", () => {
    expect(
      diffFiles(EXAMPLE, write("same.ini", (text) => `; a comment\n${text}`))
        .text,
    ).toBe("Nothing would change");
  });
});
