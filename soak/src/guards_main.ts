/**
 * Takes out each guard in a copy of the project and soaks that: seeds must find it.
 * `npm run soak:guards [-- TEXT...]` prints which seed and wave found each.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import {
  copyProject,
  faultOfText,
  ROOT,
  takeOut,
} from "@sassafrasstep/playground/guards";
import { SOAK_GUARDS, type SoakGuard } from "./guard_list.ts";

const SEEDS = "1-10";
const PARALLEL = 3;
const MAX_OUTPUT_BYTES = 67_108_864;
const run = promisify(execFile);

const only = process.argv.slice(2);
const waiting = SOAK_GUARDS.filter(({ name }) =>
  only.length === 0 || only.some((text) => name.includes(text))
);
let missed = 0;
await Promise.all(Array.from({ length: PARALLEL }, work));
console.log(`${missed} guards were not missed by seeds ${SEEDS}`);
process.exitCode = missed === 0 ? 0 : 1;

async function work(): Promise<void> {
  for (
    let guard = waiting.shift();
    guard !== undefined;
    guard = waiting.shift()
  ) {
    const fault = faultOfText(guard, ROOT);
    const found = fault === undefined ? await soakWithout(guard) : undefined;
    missed += found === undefined ? 1 : 0;
    console.log(`${guard.name}: ${found ?? fault ?? "NOT FOUND"}`);
  }
}

/** The first broken promise, `undefined` where there was none. */
async function soakWithout(guard: SoakGuard): Promise<string | undefined> {
  const folder = mkdtempSync(join(tmpdir(), "sassafrasstep-soak-guard-"));
  try {
    copyProject(folder);
    takeOut(guard, folder);
    const tsc = join(ROOT, "node_modules/.bin/tsc");
    await run(tsc, ["-b"], { cwd: folder });
    const main = join(folder, "soak/dist/main.js");
    const { kinds } = guard;
    const args = [main, "--seeds", SEEDS, "--first", "--kinds", kinds];
    const output = await run(process.execPath, args, {
      cwd: folder,
      maxBuffer: MAX_OUTPUT_BYTES,
      env: { ...process.env, TMPDIR: folder },
    }).then(
      () => "",
      (error: { stdout: string }) => error.stdout,
    );
    return readFailure(output);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

function readFailure(output: string): string | undefined {
  const lines = output.split("\n");
  if (output !== "" && !output.includes(" waves, ")) {
    return `did not run to its end: ${lines.at(-2)}`;
  }
  const at = lines.findIndex((line) => line.startsWith("First broken promise"));
  const wave = lines[at - 1]?.match(/seed \d+ wave \d+ \w+/)?.[0];
  return at < 0 ? undefined : `${wave}: ${lines[at]}`;
}
