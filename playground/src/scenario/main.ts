/**
 * Runs scenario files from the command line: `node playground/dist/scenario/main.js FILE...`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { runScenario } from "./run_scenario.ts";

for (const path of process.argv.slice(2)) {
  const loadSetting = (name: string): string =>
    readFileSync(join(dirname(path), `${name}.setting`), "utf8");
  const { title, failures } = runScenario(readFileSync(path, "utf8"), {
    loadSetting,
  });
  console.log(`${failures.length === 0 ? "holds" : "FAILS"}  ${title}`);
  failures.forEach((failure) => console.log(`  ${failure}`));
  process.exitCode = failures.length === 0 ? process.exitCode ?? 0 : 1;
}
