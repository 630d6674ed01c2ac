/**
 * Takes out each guard in a copy of the project and runs the tests of decisions there: each must make
 * a test fail. `npm run guards` prints the table, and with `--write` puts it into docs/GUARDS.md.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Guard } from "./guard.ts";
import { GUARDS } from "./guards.ts";
import { checkTexts, copyProject, ROOT, takeOut } from "./project_copy.ts";
import { QUARANTINE_GUARDS } from "./quarantine_guards.ts";
import { ROUTE_GUARDS } from "./route_guards.ts";

const TESTS = [
  "packages/core",
  "playground/src/scenario",
  "playground/src/routes",
  "packages/daemon/src/gateway",
  "packages/daemon/src/peers",
  "packages/daemon/src/callers",
];
const PARALLEL = 4;
const RUN_TIMEOUT_MS = 300_000;
const MAX_OUTPUT_BYTES = 67_108_864;
const SHOWN_TESTS = 4;

/** What taking out one guard showed. */
interface Finding {
  readonly guard: Guard;
  readonly failed: readonly string[];
}

const only = process.argv.slice(2).filter((argument) =>
  !argument.startsWith("--")
);
const chosen = [...GUARDS, ...ROUTE_GUARDS, ...QUARANTINE_GUARDS].filter((
  guard,
) =>
  only.length === 0 ||
  only.some((text) => `${guard.point} ${guard.name}`.includes(text))
);
const findings = await runAll(chosen);
const missed = findings.filter(({ failed }) => failed.length === 0);
console.log(formatTable(findings));
console.log(`
${
  findings.length - missed.length
} of ${findings.length} guards: a test fails without them`);
if (process.argv.includes("--write")) {
  writeFileSync(join(ROOT, "docs/GUARDS.md"), formatPage(findings));
}
process.exitCode = missed.length === 0 ? 0 : 1;

async function runAll(guards: readonly Guard[]): Promise<Finding[]> {
  checkTexts(guards);
  const waiting = guards.map((guard, index) => ({ guard, index }));
  const findings: Finding[] = [];
  const work = async (): Promise<void> => {
    for (
      let next = waiting.shift();
      next !== undefined;
      next = waiting.shift()
    ) {
      const { guard, index } = next;
      findings[index] = { guard, failed: await runWithout(guard) };
      console.error(
        `${
          findings[index].failed.length === 0 ? "NOT SEEN" : "seen"
        }  ${guard.name}`,
      );
    }
  };
  await Promise.all(Array.from({ length: PARALLEL }, work));
  return findings;
}

async function runWithout(guard: Guard): Promise<string[]> {
  const folder = mkdtempSync(join(tmpdir(), "sassafrasstep-guard-"));
  try {
    copyProject(folder);
    takeOut(guard, folder);
    return await runTests(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

async function runTests(folder: string): Promise<string[]> {
  const vitest = join(ROOT, "node_modules/vitest/vitest.mjs");
  const args = [
    vitest,
    "run",
    "--root",
    folder,
    "--reporter=json",
    "--maxWorkers=2",
    ...TESTS,
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

function formatTable(rows: readonly Finding[]): string {
  const lines = rows.map(({ guard, failed }) => {
    const shown = failed.slice(0, SHOWN_TESTS).map((test) =>
      test.replaceAll("|", "/")
    ).join("; ");
    const more = failed.length > SHOWN_TESTS
      ? ` and ${failed.length - SHOWN_TESTS} more`
      : "";
    return `| ${guard.point} | ${guard.name} | \`${guard.file}\` | ${
      shown === "" ? "**none**" : shown + more
    } |`;
  });
  return [
    "| point | guard | file | tests that fail without it |",
    "| --- | --- | --- | --- |",
    ...lines,
  ].join("\n");
}

function formatPage(rows: readonly Finding[]): string {
  return `# Guards

Each row was made by \`npm run guards -- --write\`: the guard was taken out in a copy of the project, and
the tests of decisions were run there. Without the guard they fail; with it they pass.

${formatTable(rows)}
`;
}
