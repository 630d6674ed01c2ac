/**
 * Removes each guard in a copy of the project and runs the tests there. Each removal must make a test fail.
 *
 * `npm run guards` prints a line for each guard as it finishes, and the table at the end. `--only WORD` selects
 * the guards whose point or name contains the word, `--write` writes the table to docs/GUARDS.md, and
 * `--minutes N` starts no further guard after that time.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Guard } from "./guard.ts";
import { ALL_GUARDS, describeTextMismatch } from "./guard_list.ts";
import { readOptions } from "./options.ts";
import { copyProject, removeGuard, ROOT } from "./project_copy.ts";
import {
  formatPage,
  formatSummary,
  formatTable,
  type GuardResult,
} from "./report.ts";
import { testSetsOf } from "./test_sets.ts";

const MAX_CONCURRENT_GUARDS = 4;
const RUN_TIMEOUT_MS = 300_000;
const MAX_OUTPUT_BYTES = 67_108_864;
/** A run stops after this many failing tests, which is enough for the report. */
const MAX_FAILURES = 4;

const options = readOptions(process.argv.slice(2));
const selectedGuards = ALL_GUARDS.filter(({ point, name }) =>
  options.only.length === 0 ||
  options.only.some((word) => `${point} ${name}`.includes(word))
);
const results = await testGuards(
  selectedGuards,
  performance.now() + options.timeLimitMs,
);
console.log(formatTable(results));
console.log(formatSummary(results));
if (options.write) {
  writeFileSync(join(ROOT, "docs/GUARDS.md"), formatPage(results));
}
process.exitCode = results.every(({ kind }) => kind === "seen") ? 0 : 1;

async function testGuards(
  guards: readonly Guard[],
  endsAt: number,
): Promise<GuardResult[]> {
  const queue = guards.map((guard, index) => ({ guard, index }));
  const results: GuardResult[] = [];
  let finishedCount = 0;
  const runQueue = async (): Promise<void> => {
    for (
      let next = queue.shift();
      next !== undefined;
      next = queue.shift()
    ) {
      const { guard, index } = next;
      const result = performance.now() < endsAt
        ? await testGuard(guard)
        : { guard, kind: "notRun" } as const;
      results[index] = result;
      finishedCount++;
      console.error(
        `${finishedCount}/${guards.length} ${result.kind}  ${guard.name}`,
      );
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_GUARDS }, runQueue));
  return results;
}

/** Tests one guard. If it cannot be removed or its run has no result, the other guards are still tested. */
async function testGuard(guard: Guard): Promise<GuardResult> {
  const mismatch = describeTextMismatch(guard, ROOT);
  if (mismatch !== undefined) {
    return { guard, kind: "notFound", detail: mismatch };
  }
  try {
    const failed = await findFailuresWithout(guard);
    return failed.length === 0
      ? { guard, kind: "notSeen" }
      : { guard, kind: "seen", failed };
  } catch (error) {
    return { guard, kind: "notRun", detail: (error as Error).message };
  }
}

async function findFailuresWithout(guard: Guard): Promise<string[]> {
  const folder = mkdtempSync(join(tmpdir(), "sassafrasstep-guard-"));
  try {
    copyProject(folder);
    removeGuard(guard, folder);
    for (const tests of testSetsOf(guard)) {
      const failed = await runTests(folder, tests);
      if (failed.length > 0) {
        return failed;
      }
    }
    return [];
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

async function runTests(
  folder: string,
  tests: readonly string[],
): Promise<string[]> {
  const vitest = join(ROOT, "node_modules/vitest/vitest.mjs");
  const args = [
    vitest,
    "run",
    "--root",
    folder,
    "--reporter=json",
    "--maxWorkers=3",
    `--bail=${MAX_FAILURES}`,
    ...tests,
  ];
  const output = await new Promise<string>((resolve) => {
    const options = {
      cwd: folder,
      timeout: RUN_TIMEOUT_MS,
      maxBuffer: MAX_OUTPUT_BYTES,
    };
    execFile(
      process.execPath,
      args,
      options,
      (_error, stdout) => resolve(stdout),
    );
  });
  return readFailures(output);
}

function readFailures(output: string): string[] {
  const json = output.slice(
    output.indexOf('{"num'),
    output.lastIndexOf("}") + 1,
  );
  const report = JSON.parse(json) as {
    testResults: {
      name: string;
      status: string;
      assertionResults: {
        status: string;
        ancestorTitles: string[];
        title: string;
      }[];
    }[];
  };
  if (
    report.testResults.every(({ assertionResults }) =>
      assertionResults.length === 0
    )
  ) {
    throw new Error("Cannot evaluate the guard: no test ran in the copy");
  }
  const failed = report.testResults.flatMap(({ assertionResults }) =>
    assertionResults.filter(({ status }) => status === "failed").map((
      { ancestorTitles, title },
    ) => title.startsWith("holds with seed") ? ancestorTitles.at(-1)! : title)
  );
  return [...new Set(failed)];
}
