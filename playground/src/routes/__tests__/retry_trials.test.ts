import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { runRetryTrial } from "../retry_trials.ts";

const FOLDER = new URL("../../../budget/", import.meta.url);
const TRIALS = Number(process.env.RETRY_TRIALS ?? 12);

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

describe("retries under random faults", () => {
  // Guards against more retries by all entries together than allowed, in orders of faults that nobody thought of.
  const seeds = Array.from({ length: TRIALS }, (_, index) => index + 1);
  it.each(seeds)("stay within the budget with seed %i", (seed) => {
    expect(runRetryTrial(seed, loadSetting)).toEqual([]);
  });
});
