import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../budget/", import.meta.url);
const SEEDS = [1, 2, 3];

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

describe("retries of all entries together", () => {
  const files = readdirSync(FOLDER).filter((name) =>
    name.endsWith(".scenario")
  );
  for (const file of files.sort()) {
    describe(file, () => {
      const text = readFileSync(new URL(file, FOLDER), "utf8");
      it.each(SEEDS)("stay within the budget with seed %i", (seed) => {
        expect(runRoutes(text, { seed, loadSetting }).failures).toEqual([]);
      });
    });
  }
});
