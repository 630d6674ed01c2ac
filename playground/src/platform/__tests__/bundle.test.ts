import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { rolldown } from "rolldown";
import { afterAll, describe, expect, it } from "vitest";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const EXIT_USAGE = 2;
/** Prints whether Node rejects the compiled code of the bundle in the current folder. */
const CHECK_CODE = `
const { readFileSync } = require("node:fs");
const { Script } = require("node:vm");
const source = require("node:module").wrap(readFileSync("entry.cjs", "utf8"));
const cachedData = readFileSync("entry.cache");
console.log(new Script(source, { cachedData }).cachedDataRejected);
`;

// Guards against a deployed bundle that cannot be built while all other tests pass: this happened when a
// gateway module started to import parts of the HTTP library that the bundle leaves out.
describe("the files that are deployed", () => {
  const folder = mkdtempSync(join(tmpdir(), "bundle-"));
  afterAll(() => rmSync(folder, { recursive: true }));

  it("are built, and check settings", async () => {
    const { default: config, runOptions } = await import(
      join(ROOT, "deploy/rolldown.config.mjs")
    );
    const { output, ...input } = config;
    const bundle = await rolldown({ ...input, cwd: ROOT });
    const file = join(folder, "entry.cjs");
    await bundle.write({ ...output, file });
    await bundle.close();
    const settings = join(folder, "faulty.ini");
    writeFileSync(settings, "[entry]\n");
    for (const program of [file, join(folder, "start.cjs")]) {
      const { status, stderr } = spawnSync(process.execPath, [
        program,
        "--check",
        settings,
      ], { encoding: "utf8" });
      expect(status).toBe(EXIT_USAGE);
      expect(stderr).toContain("zone");
    }
    // Guards against compiled code that no start takes, since it was made with other options than those of the run line.
    const options = runOptions();
    expect(options).toContain("--single-threaded");
    const { stdout } = spawnSync(
      process.execPath,
      [...options, "-e", CHECK_CODE],
      { encoding: "utf8", cwd: folder },
    );
    expect(stdout.trim()).toBe("false");
  });
});
