import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { randomScenario } from "../disorder.ts";
import { runScenario } from "../index.ts";

/** The fixed defaults make runs reproducible. DISORDER_RUNS and DISORDER_SEED allow a longer search. */
const RUNS = Number(process.env["DISORDER_RUNS"] ?? 200);
const SEED = Number(process.env["DISORDER_SEED"] ?? 20_261_202);
const SETTING = readFileSync(
  new URL("../../../scenarios/two_regions.setting", import.meta.url),
  "utf8",
);
const TIMEOUT_MS = 600_000;

describe("disorder", () => {
  it(
    "keeps all invariants under random events in random order",
    () => {
      fc.assert(
        fc.property(
          randomScenario,
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
