import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../routes/", import.meta.url);
const ENTRIES = ["n1", "n2", "s1", "s2", "w1"];
const ENDPOINTS = ["pn", "ps", "en1", "en2", "es1", "ew1"];
const ZONES = ["north-a", "south-a", "west-a"];
const STORE_MODES = ["busy", "silent", "deaf"];
const MAX_STEP_START_MS = 8_000;
const MAX_BACKUP_AGE_MS = 4_000;
/**
 * Time after a restore by which endpoints and operators have repeated the lost writes and the records of
 * silent endpoints are removed.
 */
const REWRITE_DELAY_MS = 1_800;
/** Time after the last fault until all entries must hold the store's state; the last changes come before. */
const CONVERGENCE_MS = 6_000;
const LAST_CHANGE_DELAY_MS = 2_000;

/** A fault or a change, with its start and duration. */
const stepArbitrary = fc.record({
  at: fc.nat(MAX_STEP_START_MS),
  for: fc.integer({ min: 50, max: MAX_BACKUP_AGE_MS }),
  kind: fc.constantFrom(
    "restore",
    "restore",
    "restore",
    "publish",
    "drain",
    "remove",
    "join",
    "evacuate",
    "takeBack",
    "beats",
    "cut",
    "turnAway",
    "freeze",
    "restart",
    "compact",
    "lose",
  ),
  entry: fc.constantFrom(...ENTRIES),
  endpoint: fc.constantFrom(...ENDPOINTS),
  zone: fc.constantFrom(...ZONES),
  mode: fc.constantFrom(...STORE_MODES),
  unavailableMs: fc.integer({ min: 0, max: 2_000 }),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value
  : never;

/** Writes that the platform has acknowledged and that a restore may lose. */
class AcknowledgedState {
  readonly endpoints = new Map(ENDPOINTS.map((name) => [name, "ready"]));
  readonly evacuated = new Set<string>();
  #joined = 0;

  /** Records a change and returns its script lines. */
  applyChange({ kind, endpoint, zone }: Step): string[] {
    switch (kind) {
      case "drain":
        return this.#setEndpointState(
          endpoint,
          "draining",
          `drain ${endpoint}`,
        );
      case "remove":
        return this.#setEndpointState(endpoint, "gone", `remove ${endpoint}`);
      case "join": {
        const name = `new${++this.#joined}`;
        this.endpoints.set(name, "ready");
        return [`backend ${name} north-a pool`];
      }
      case "evacuate":
        this.evacuated.add(zone);
        return [`evacuate ${zone}`];
      case "takeBack":
        this.evacuated.delete(zone);
        return [`restore ${zone}`];
      case "beats":
        return Array.from({ length: 8 }, () => "beat pn")
          .filter(() => this.endpoints.get("pn") === "ready");
      default:
        return ["publish"];
    }
  }

  /** Returns script lines that repeat all acknowledged writes. */
  rewriteLines(): string[] {
    const verbs: Record<string, string> = {
      ready: "beat",
      draining: "drain",
      gone: "remove",
    };
    return [
      "publish",
      ...[...this.endpoints].map(([name, state]) => `${verbs[state]} ${name}`),
      ...ZONES.map((zone) =>
        `${this.evacuated.has(zone) ? "evacuate" : "restore"} ${zone}`
      ),
    ];
  }

  #setEndpointState(endpoint: string, state: string, line: string): string[] {
    if (this.endpoints.get(endpoint) === "gone") {
      return [];
    }
    this.endpoints.set(endpoint, state);
    return [line];
  }
}

interface ScheduledLines {
  readonly at: number;
  readonly lines: () => readonly string[];
}

function scheduleStep(
  step: Step,
  acknowledged: AcknowledgedState,
): ScheduledLines[] {
  const { at, kind, entry, mode, unavailableMs } = step;
  const end = at + step.for;
  const during = (begin: string, finish: string): ScheduledLines[] => [
    { at, lines: () => [begin] },
    { at: end, lines: () => [finish] },
  ];
  switch (kind) {
    case "restore":
      return [
        { at, lines: () => ["copy_store"] },
        { at: end, lines: () => unavailableMs < 100 ? [] : [`store ${mode}`] },
        { at: end + unavailableMs, lines: () => ["restore_store", "store up"] },
        {
          at: end + unavailableMs + REWRITE_DELAY_MS,
          lines: () => acknowledged.rewriteLines(),
        },
      ];
    case "cut":
      return during(`cut ${entry}`, "heal");
    case "turnAway":
      return during(`store ${mode} ${entry}`, "store up");
    case "freeze":
      return during(`freeze ${entry}`, `thaw ${entry}`);
    case "restart":
      return during(`kill ${entry}`, `start ${entry}`);
    case "compact":
      return [{ at, lines: () => ["compact"] }];
    case "lose":
      return during("lose 0.2", "lose 0");
    default:
      return [{ at, lines: () => acknowledged.applyChange(step) }];
  }
}

function buildScript(steps: readonly Step[], hasCustomer: boolean): string {
  const acknowledged = new AcknowledgedState();
  const schedule = steps.flatMap((item) => scheduleStep(item, acknowledged))
    .sort((left, right) => left.at - right.at);
  const faultsEndAt = Math.max(...schedule.map(({ at }) => at));
  const lastChangeAt = faultsEndAt + LAST_CHANGE_DELAY_MS;
  const lines = schedule.flatMap((item) =>
    item.lines().map((line) => `at ${item.at}ms ${line}`)
  );
  return [
    "use three_regions",
    ...hasCustomer ? ["customer clinic keys k1"] : [],
    ...lines,
    `at ${faultsEndAt}ms heal`,
    `at ${faultsEndAt}ms store up`,
    `at ${lastChangeAt}ms publish`,
    `at ${lastChangeAt}ms drain ew1`,
    `at ${lastChangeAt}ms evacuate west-a`,
    `at ${faultsEndAt + CONVERGENCE_MS}ms expect in_force ${ENTRIES.join()}`,
  ].join("\n");
}

// Guards against changes that a connected entry misses because the store was restored or entries had faults.
describe("what the store holds", () => {
  it("is in force at every connected entry within its bound", () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, { minLength: 2, maxLength: 8 }),
        fc.boolean(),
        fc.nat(100),
        (steps, hasCustomer, seed) => {
          const { failures } = runRoutes(buildScript(steps, hasCustomer), {
            seed,
            loadSetting: (name) =>
              readFileSync(new URL(`${name}.setting`, FOLDER), "utf8"),
          });
          expect(failures).toEqual([]);
        },
      ),
      { numRuns: Number(process.env.STORE_RUNS ?? 60) },
    );
  });
});
