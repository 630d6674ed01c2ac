import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../streams/", import.meta.url);
const SEEDS = [1, 2, 3];

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

describe("streams of several software versions", () => {
  const files = readdirSync(FOLDER).filter((name) =>
    name.endsWith(".scenario")
  );
  for (const file of files.sort()) {
    describe(file, () => {
      const text = readFileSync(new URL(file, FOLDER), "utf8");
      it.each(SEEDS)("hold with seed %i", (seed) => {
        expect(runRoutes(text, { seed, loadSetting }).failures).toEqual([]);
      });
    });
  }

  // Guards against a version that an entry has not read of, however long the entry was out of step when it joined.
  describe("of a version that joins while an entry is out of step", () => {
    const FIRST_MS = 20_000;
    const scenario = (lengthMs: number, joinsAfterMs: number): string => {
      const joinsAt = FIRST_MS + joinsAfterMs;
      const endsAt = FIRST_MS + lengthMs;
      return `title A version joins ${joinsAfterMs} ms into ${lengthMs} ms
use one_version
at ${FIRST_MS}ms store silent n1
at ${joinsAt}ms backend en5 north-a pool version v2
at ${joinsAt}ms backend en6 north-b pool version v2
at ${joinsAt + 50}ms remove en1
at ${joinsAt + 50}ms remove en3
at ${
        joinsAt + 100
      }ms stream a near via n3,n2 back n1 count 30 every 10ms events 60 tries 3
at ${joinsAt + 400}ms cut n1
at ${joinsAt + 500}ms kill n2
at ${joinsAt + 500}ms kill n3
at ${endsAt}ms store up
at ${endsAt + 3_000}ms heal
at ${endsAt + 12_000}ms expect taken_up a least 20`;
    };
    const LENGTHS_MS = [500, 1_000, 1_500, 2_000, 3_500, 5_000];
    it.each(
      LENGTHS_MS.flatMap((length) =>
        [0.1, 0.5, 0.9].map((part) => [length, Math.round(length * part)])
      ),
    )("hold after %i ms, joining after %i ms", (lengthMs, joinsAfterMs) => {
      const text = scenario(lengthMs!, joinsAfterMs!);
      for (const seed of SEEDS) {
        expect(runRoutes(text, { seed, loadSetting }).failures).toEqual([]);
      }
    });
  });
});
