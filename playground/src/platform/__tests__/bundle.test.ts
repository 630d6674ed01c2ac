import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { rolldown } from "rolldown";
import { afterAll, describe, expect, it } from "vitest";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const EXIT_USAGE = 2;

// Guards against a deployed bundle that cannot be built while all other tests pass: this happened when a
// gateway module started to import parts of the HTTP library that the bundle leaves out.
describe("the file that is deployed", () => {
  const folder = mkdtempSync(join(tmpdir(), "bundle-"));
  afterAll(() => rmSync(folder, { recursive: true }));

  it("is built, and checks settings", async () => {
    const { default: config } = await import(
      join(ROOT, "deploy/rolldown.config.mjs")
    );
    const { output, ...input } = config;
    const bundle = await rolldown({ ...input, cwd: ROOT });
    const file = join(folder, "entry.cjs");
    await bundle.write({ ...output, file });
    await bundle.close();
    const settings = join(folder, "faulty.ini");
    writeFileSync(settings, "[entry]\n");
    const { status, stderr } = spawnSync(process.execPath, [
      file,
      "--check",
      settings,
    ], { encoding: "utf8" });
    expect(status).toBe(EXIT_USAGE);
    expect(stderr).toContain("zone");
  });
});
