/**
 * Runs random scenario scripts in the two-region setting.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import fc from "fast-check";
import { expect } from "vitest";
import { runScenario } from "../index.ts";

const SETTING = readFileSync(
  new URL("../../../scenarios/two_regions.setting", import.meta.url),
  "utf8",
);

/** Fails if any expectation or invariant of any script does not hold. */
export function expectScriptsHold(
  scripts: fc.Arbitrary<string>,
  { runs, seed }: { runs: number; seed: number },
): void {
  fc.assert(
    fc.property(
      scripts,
      fc.integer({ min: 1, max: 1_000 }),
      (script, scenarioSeed) => {
        const { failures } = runScenario(script, {
          seed: scenarioSeed,
          loadSetting: () => SETTING,
        });
        expect(failures).toEqual([]);
      },
    ),
    { numRuns: runs, seed },
  );
}
