import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../routes/", import.meta.url);
const SEEDS = [1, 2, 3];
/** Scenarios in which few of the drawn orders of events matter, with seeds that draw them. */
const FURTHER_SEEDS: Readonly<Record<string, readonly number[]>> = {
  "poison_restarts.scenario": [4, 6, 10, 13, 25, 37],
};

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

describe("routes", () => {
  const files = readdirSync(FOLDER).filter((name) =>
    name.endsWith(".scenario")
  );
  for (const file of files.sort()) {
    describe(file, () => {
      const text = readFileSync(new URL(file, FOLDER), "utf8");
      const seeds = [...SEEDS, ...FURTHER_SEEDS[file] ?? []];
      it.each(seeds)("holds with seed %i", (seed) => {
        expect(runRoutes(text, { seed, loadSetting }).failures).toEqual([]);
      });
    });
  }
});
