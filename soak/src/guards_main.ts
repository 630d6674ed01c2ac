/**
 * Removes each guard in a copy of the project and runs the soak test there, which must fail for one of the
 * seeds. `npm run soak:guards [-- TEXT...]` prints the seed and wave that detected each removal; with TEXT,
 * only guards whose names contain one of the texts are removed.
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
  describeTextMismatch,
  removeGuard,
  ROOT,
} from "@sassafrasstep/playground/guards";
import { ACTION_WAVES, SOAK_GUARDS, type SoakGuard } from "./guard_list.ts";

const SEED_RANGE = "1-10";
const WORKER_COUNT = 3;
const MAX_OUTPUT_BYTES = 67_108_864;
const execFileAsync = promisify(execFile);

const nameFilters = process.argv.slice(2);
const queue = SOAK_GUARDS.filter(({ name }) =>
  nameFilters.length === 0 || nameFilters.some((text) => name.includes(text))
);
let undetectedCount = 0;
await Promise.all(Array.from({ length: WORKER_COUNT }, processQueue));
console.log(`${undetectedCount} guards were not missed by seeds ${SEED_RANGE}`);
process.exitCode = undetectedCount === 0 ? 0 : 1;

async function processQueue(): Promise<void> {
  for (
    let guard = queue.shift();
    guard !== undefined;
    guard = queue.shift()
  ) {
    const fault = describeTextMismatch(guard, ROOT);
    const detection = fault === undefined
      ? await soakWithoutGuard(guard)
      : undefined;
    undetectedCount += detection === undefined ? 1 : 0;
    console.log(`${guard.name}: ${detection ?? fault ?? "NOT FOUND"}`);
  }
}

/** Returns the first violation that the soak test reports without the guard, `undefined` if there is none. */
async function soakWithoutGuard(guard: SoakGuard): Promise<string | undefined> {
  const folder = mkdtempSync(join(tmpdir(), "sassafrasstep-soak-guard-"));
  try {
    copyProject(folder);
    removeGuard(guard, folder);
    const tsc = join(ROOT, "node_modules/.bin/tsc");
    await execFileAsync(tsc, ["-b"], { cwd: folder });
    const output = await execFileAsync(process.execPath, commandOf(guard), {
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

/** Arguments that play the waves of a guard. */
function commandOf({ kinds }: SoakGuard): string[] {
  const seeds = ["--seeds", SEED_RANGE, "--first"];
  return kinds.startsWith(ACTION_WAVES)
    ? [
      "soak/dist/actions_main.js",
      ...seeds,
      "--kinds",
      kinds.slice(ACTION_WAVES.length),
    ]
    : ["soak/dist/main.js", ...seeds, "--kinds", kinds];
}

function readFailure(output: string): string | undefined {
  const lines = output.split("\n");
  if (output !== "" && !output.includes(" waves, ")) {
    return `did not run to its end: ${lines.at(-2)}`;
  }
  const failureIndex = lines.findIndex((line) =>
    line.startsWith("First broken promise") || line.startsWith("  ")
  );
  const wave = lines[failureIndex - 1]?.match(/seed \d+( wave \d+ \w+)?/)?.[0];
  return failureIndex < 0 ? undefined : `${wave}: ${lines[failureIndex]}`;
}
