import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../routes/", import.meta.url);
const ENTRIES = ["n1", "n2", "s1", "w1"];
const STORE_MODES = ["busy", "silent", "deaf", "stale", "up"];
const MOST_TIME_MS = 9_000;
/** Age of the copy that the store comes back from, and until operators write again what it lacks. */
const COPY_AGE_MS = 3_000;
const REWRITTEN_MS = 1_800;

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

/** What may happen to an entry, or to the store as it sees it. */
const trouble = fc.record({
  at: fc.nat(MOST_TIME_MS),
  for: fc.integer({ min: 300, max: 8_000 }),
  kind: fc.constantFrom(
    "store",
    "store",
    "cut",
    "freeze",
    "sleep",
    "restart",
    "region",
    "compact",
    "lose",
    "restore",
  ),
  entry: fc.constantFrom(...ENTRIES),
  mode: fc.constantFrom(...STORE_MODES),
  everywhere: fc.boolean(),
});

type Trouble = typeof trouble extends fc.Arbitrary<infer Value> ? Value
  : never;

function linesOf(
  { at, for: time, kind, entry, mode, everywhere }: Trouble,
): string[] {
  const end = at + time;
  switch (kind) {
    case "store":
      return [
        `at ${at}ms store ${mode}${everywhere ? "" : ` ${entry}`}`,
        `at ${end}ms store up`,
      ];
    case "cut":
      return [`at ${at}ms cut ${entry}`, `at ${end}ms heal`];
    case "freeze":
      return [`at ${at}ms freeze ${entry}`, `at ${end}ms thaw ${entry}`];
    case "sleep":
      return [`at ${at}ms sleep ${entry} ${time}ms`];
    case "restart":
      return [`at ${at}ms kill ${entry}`, `at ${at + 400}ms start ${entry}`];
    case "region":
      return [`at ${at}ms isolate ${entry}`, `at ${end}ms heal`];
    case "compact":
      return [`at ${at}ms compact`];
    case "restore":
      return [
        `at ${Math.max(at, end - COPY_AGE_MS)}ms copy_store`,
        ...everywhere ? [`at ${end - 200}ms store ${mode}`] : [],
        `at ${end}ms restore_store`,
        `at ${end}ms store up`,
        `at ${end + REWRITTEN_MS}ms publish`,
      ];
    case "lose":
      return [`at ${at}ms lose 0.2`, `at ${end}ms lose 0`];
  }
}

function script(troubles: readonly Trouble[], takenAt: number): string {
  const calls = `print via ${ENTRIES.join()} count 340 every 50ms key`;
  const steps = [
    `at 0s load old ${calls} k1`,
    `at 0s load kept ${calls} k2`,
    `at ${takenAt}ms customer clinic keys k9`,
    `at ${takenAt}ms publish`,
    ...troubles.flatMap(linesOf),
  ];
  const timeOf = (line: string): number => Number.parseInt(line.slice(3), 10);
  return [
    "use three_regions",
    "customer clinic keys k1",
    "customer lawyers keys k2",
    ...steps.sort((left, right) => timeOf(left) - timeOf(right)),
  ].join("\n");
}

describe("a key that is taken away", () => {
  // No request that is sent later than the bound may run, and endpoints are told the customer's name alone:
  // both hold in every scenario (`checkKey`), here under drawn cuts, pauses, restarts and faults of the store.
  it("opens nothing later than its bound, whatever happens meanwhile", () => {
    fc.assert(
      fc.property(
        fc.array(trouble, { minLength: 1, maxLength: 4 }),
        fc.integer({ min: 500, max: 6_000 }),
        fc.nat(100),
        (troubles, takenAt, seed) => {
          const text = script(troubles, takenAt);
          const { failures } = runRoutes(text, { seed, loadSetting });
          const ofKeys = failures.filter((text) => text.includes(" key "));
          expect(ofKeys).toEqual([]);
        },
      ),
      { numRuns: Number(process.env.KEY_RUNS ?? 40) },
    );
  });

  it("keeps serving the keys that hold, while some entry hears of them", () => {
    const text = script([{
      at: 1_000,
      for: 7_000,
      kind: "store",
      entry: "n1",
      mode: "busy",
      everywhere: false,
    }], 500);
    const { world } = runRoutes(text, { seed: 3, loadSetting });
    const kept = [...world.calls.values()].filter(({ name, endedAt }) =>
      name.startsWith("kept-") && endedAt !== undefined
    );
    expect(kept.length).toBeGreaterThan(270);
    expect(kept.filter(({ status }) => status !== 200)).toEqual([]);
  });
});
