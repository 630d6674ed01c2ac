import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../routes/", import.meta.url);
const ENTRIES = ["n1", "n2", "s1", "w1"];
const STORE_MODES = ["busy", "silent", "deaf", "stale", "up"];
const MAX_FAULT_START_MS = 9_000;
/** Age of the backup that the store is restored from, and time until operators repeat the lost writes. */
const BACKUP_AGE_MS = 3_000;
const REWRITE_DELAY_MS = 1_800;

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

/** A fault of an entry, of the network or of the store. */
const faultArbitrary = fc.record({
  at: fc.nat(MAX_FAULT_START_MS),
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

type Fault = typeof faultArbitrary extends fc.Arbitrary<infer Value> ? Value
  : never;

function scriptLines(
  { at, for: durationMs, kind, entry, mode, everywhere }: Fault,
): string[] {
  const end = at + durationMs;
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
      return [`at ${at}ms sleep ${entry} ${durationMs}ms`];
    case "restart":
      return [`at ${at}ms kill ${entry}`, `at ${at + 400}ms start ${entry}`];
    case "region":
      return [`at ${at}ms isolate ${entry}`, `at ${end}ms heal`];
    case "compact":
      return [`at ${at}ms compact`];
    case "restore":
      return [
        `at ${Math.max(at, end - BACKUP_AGE_MS)}ms copy_store`,
        ...everywhere ? [`at ${end - 200}ms store ${mode}`] : [],
        `at ${end}ms restore_store`,
        `at ${end}ms store up`,
        `at ${end + REWRITE_DELAY_MS}ms publish`,
      ];
    case "lose":
      return [`at ${at}ms lose 0.2`, `at ${end}ms lose 0`];
  }
}

function buildScript(faults: readonly Fault[], removedAtMs: number): string {
  const calls = `print via ${ENTRIES.join()} count 340 every 50ms key`;
  const steps = [
    `at 0s load old ${calls} k1`,
    `at 0s load kept ${calls} k2`,
    `at ${removedAtMs}ms customer clinic keys k9`,
    `at ${removedAtMs}ms publish`,
    ...faults.flatMap(scriptLines),
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
  // A request sent after the bound must not run, and endpoints must get only the customer's name.
  // `checkCustomerKey` checks both in every scenario. This test asserts the first under randomized partitions,
  // pauses, restarts and store faults.
  it("admits no request after its bound, despite faults", () => {
    fc.assert(
      fc.property(
        fc.array(faultArbitrary, { minLength: 1, maxLength: 4 }),
        fc.integer({ min: 500, max: 6_000 }),
        fc.nat(100),
        (faults, removedAtMs, seed) => {
          const text = buildScript(faults, removedAtMs);
          const { failures } = runRoutes(text, { seed, loadSetting });
          const keyFailures = failures.filter((text) => text.includes(" key "));
          expect(keyFailures).toEqual([]);
        },
      ),
      { numRuns: Number(process.env.KEY_RUNS ?? 40) },
    );
  });

  it("leaves valid keys usable while some entry can still read the store", () => {
    const text = buildScript([{
      at: 1_000,
      for: 7_000,
      kind: "store",
      entry: "n1",
      mode: "busy",
      everywhere: false,
    }], 500);
    const { world } = runRoutes(text, { seed: 3, loadSetting });
    const endedCalls = [...world.calls.values()].filter(({ name, endedAt }) =>
      name.startsWith("kept-") && endedAt !== undefined
    );
    expect(endedCalls.length).toBeGreaterThan(270);
    expect(endedCalls.filter(({ status }) => status !== 200)).toEqual([]);
  });
});
