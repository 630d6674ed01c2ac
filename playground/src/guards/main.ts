/**
 * Takes out each guard in a copy of the project and runs the tests there: each must make a test fail.
 *
 * `npm run guards` prints the table, with a line for each guard meanwhile; `--only WORD` takes those whose
 * point or name has the word, `--write` puts the table into docs/GUARDS.md, `--minutes N` bounds the whole.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Guard } from "./guard.ts";
import { ALL_GUARDS, faultOfText } from "./guard_list.ts";
import { readOptions } from "./options.ts";
import { copyProject, ROOT, takeOut } from "./project_copy.ts";
import {
  type Finding,
  formatPage,
  formatSummary,
  formatTable,
} from "./report.ts";
import { testSetsOf } from "./test_sets.ts";

const PARALLEL = 4;
const RUN_TIMEOUT_MS = 300_000;
const MAX_OUTPUT_BYTES = 67_108_864;
/** Failing tests after which a run ends: enough to name. */
const MOST_FAILURES = 4;

const options = readOptions(process.argv.slice(2));
const chosen = ALL_GUARDS.filter(({ point, name }) =>
  options.only.length === 0 ||
  options.only.some((word) => `${point} ${name}`.includes(word))
);
const findings = await runAll(chosen, performance.now() + options.time);
console.log(formatTable(findings));
console.log(formatSummary(findings));
if (options.write) {
  writeFileSync(join(ROOT, "docs/GUARDS.md"), formatPage(findings));
}
process.exitCode = findings.every(({ kind }) => kind === "seen") ? 0 : 1;

async function runAll(
  guards: readonly Guard[],
  endsAt: number,
): Promise<Finding[]> {
  const waiting = guards.map((guard, index) => ({ guard, index }));
  const findings: Finding[] = [];
  let done = 0;
  const work = async (): Promise<void> => {
    for (
      let next = waiting.shift();
      next !== undefined;
      next = waiting.shift()
    ) {
      const { guard, index } = next;
      const finding = performance.now() < endsAt
        ? await examine(guard)
        : { guard, kind: "notRun" } as const;
      findings[index] = finding;
      done++;
      console.error(`${done}/${guards.length} ${finding.kind}  ${guard.name}`);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL }, work));
  return findings;
}

/** One guard that can't be taken out, or whose run says nothing, doesn't end the others. */
async function examine(guard: Guard): Promise<Finding> {
  const fault = faultOfText(guard, ROOT);
  if (fault !== undefined) {
    return { guard, kind: "notFound", detail: fault };
  }
  try {
    const failed = await runWithout(guard);
    return failed.length === 0
      ? { guard, kind: "notSeen" }
      : { guard, kind: "seen", failed };
  } catch (error) {
    return { guard, kind: "notRun", detail: (error as Error).message };
  }
}

async function runWithout(guard: Guard): Promise<string[]> {
  const folder = mkdtempSync(join(tmpdir(), "sassafrasstep-guard-"));
  try {
    copyProject(folder);
    takeOut(guard, folder);
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
    `--bail=${MOST_FAILURES}`,
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
    throw new Error("Cannot judge a guard: no test ran in the copy");
  }
  const failed = report.testResults.flatMap(({ assertionResults }) =>
    assertionResults.filter(({ status }) => status === "failed").map((
      { ancestorTitles, title },
    ) => title.startsWith("holds with seed") ? ancestorTitles.at(-1)! : title)
  );
  return [...new Set(failed)];
}
