/**
 * Runs scenario files from the command line: `node playground/dist/scenario/main.js [--log] FILE...`.
 * With `--log`, prints what the entries log.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { runScenario } from "./run_scenario.ts";
import type { LogListener } from "./world.ts";

const LOG_OPTION = "--log";
const MS_PER_SECOND = 1_000;
const words = process.argv.slice(2);
const onLog: LogListener = (entry, { part, text, fields }, at) => {
  const time = (at / MS_PER_SECOND).toFixed(1);
  console.log(
    `${time} s  ${entry}  ${part}: ${text} ${JSON.stringify(fields)}`,
  );
};

for (const path of words.filter((word) => word !== LOG_OPTION)) {
  const loadSetting = (name: string): string =>
    readFileSync(join(dirname(path), `${name}.setting`), "utf8");
  const { title, failures } = runScenario(readFileSync(path, "utf8"), {
    loadSetting,
    ...(words.includes(LOG_OPTION) ? { onLog } : {}),
  });
  console.log(`${failures.length === 0 ? "holds" : "FAILS"}  ${title}`);
  failures.forEach((failure) => console.log(`  ${failure}`));
  process.exitCode = failures.length === 0 ? process.exitCode ?? 0 : 1;
}
