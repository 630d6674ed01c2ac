import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { runScenario } from "../index.ts";
import { restoreScript } from "../restore_scripts.ts";

const RUNS = Number(process.env["RESTORE_RUNS"] ?? 60);
const SEED = Number(process.env["RESTORE_SEED"] ?? 20_261_203);
const SETTING = readFileSync(
  new URL("../../../scenarios/two_regions.setting", import.meta.url),
  "utf8",
);
const TIMEOUT_MS = 600_000;

describe("restores of the configuration service", () => {
  // Guards against a text that is in force nowhere because its revision was assigned before.
  it(
    "are followed by the newest text at every entry, whatever else fails",
    () => {
      fc.assert(
        fc.property(
          restoreScript,
          fc.integer({ min: 1, max: 1_000 }),
          (script, seed) => {
            const { failures } = runScenario(script, {
              seed,
              loadSetting: () => SETTING,
            });
            expect(failures).toEqual([]);
          },
        ),
        { numRuns: RUNS, seed: SEED },
      );
    },
    TIMEOUT_MS,
  );
});
