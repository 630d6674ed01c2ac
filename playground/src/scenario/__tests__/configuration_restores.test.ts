import { describe, it } from "vitest";
import { restoreScript } from "../restore_scripts.ts";
import { expectScriptsHold } from "./random_scripts.ts";

/** The fixed defaults make runs reproducible. RESTORE_RUNS and RESTORE_SEED allow a longer search. */
const RUNS = Number(process.env["RESTORE_RUNS"] ?? 60);
const SEED = Number(process.env["RESTORE_SEED"] ?? 20_261_203);
const TIMEOUT_MS = 600_000;

describe("restores of the configuration service", () => {
  // Guards against a text that is in force nowhere because its revision was assigned before.
  it(
    "are followed by the newest text at every entry, whatever else fails",
    () => expectScriptsHold(restoreScript, { runs: RUNS, seed: SEED }),
    TIMEOUT_MS,
  );
});
