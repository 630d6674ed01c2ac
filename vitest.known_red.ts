/**
 * Tests that are red for a fault that is known and not mended yet. They are passed over and printed, each
 * with its line of `KNOWN-RED.txt`; `KNOWN_RED=run` runs them.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { RunnerTestCase } from "vitest";

const LIST = new URL("KNOWN-RED.txt", import.meta.url);
const RUN = process.env.KNOWN_RED === "run";

function readList(): readonly string[] {
  try {
    return readFileSync(LIST, "utf8").split("\n").filter(Boolean);
  } catch {
    return [];
  }
}

const LINES = readList();

/** The line of a test, `undefined` for one that has to pass. */
export function knownRedLine(task: RunnerTestCase): string | undefined {
  const names: string[] = [];
  for (let at: { name: string; suite?: unknown } = task; at !== undefined;) {
    names.unshift(at.name);
    at = at.suite as typeof at;
  }
  const full = names.join(" > ");
  return RUN ? undefined : LINES.find((line) => {
    const name = line.split(" | ")[0]!;
    return full === name || full.startsWith(`${name} > `);
  });
}
