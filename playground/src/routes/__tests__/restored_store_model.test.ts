import { readFileSync } from "node:fs";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { runRoutes } from "../index.ts";

const FOLDER = new URL("../../../routes/", import.meta.url);
const ENTRIES = ["n1", "n2", "s1", "s2", "w1"];
const ENDPOINTS = ["pn", "ps", "en1", "en2", "es1", "ew1"];
const ZONES = ["north-a", "south-a", "west-a"];
const STORE_MODES = ["busy", "silent", "deaf"];
const MOST_TIME_MS = 8_000;
const MOST_COPY_AGE_MS = 4_000;
/** After a restore: by then endpoints and operators have written again, and silent records are removed. */
const REWRITTEN_MS = 1_800;
/** After the last trouble, until entries are in touch; the last changes are made before. */
const IN_TOUCH_MS = 6_000;
const LAST_CHANGE_MS = 2_000;

/** Something that happens, at a time and for a while. */
const step = fc.record({
  at: fc.nat(MOST_TIME_MS),
  for: fc.integer({ min: 50, max: MOST_COPY_AGE_MS }),
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
  away: fc.integer({ min: 0, max: 2_000 }),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** What the platform has acknowledged, which is what a restore may lose. */
class Acknowledged {
  readonly endpoints = new Map(ENDPOINTS.map((name) => [name, "ready"]));
  readonly evacuated = new Set<string>();
  #joined = 0;

  /** A change, as a line of the script. */
  change({ kind, endpoint, zone }: Step): string[] {
    switch (kind) {
      case "drain":
        return this.#leave(endpoint, "draining", `drain ${endpoint}`);
      case "remove":
        return this.#leave(endpoint, "gone", `remove ${endpoint}`);
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

  /** All of it once more. */
  rewritten(): string[] {
    const words: Record<string, string> = {
      ready: "beat",
      draining: "drain",
      gone: "remove",
    };
    return [
      "publish",
      ...[...this.endpoints].map(([name, state]) => `${words[state]} ${name}`),
      ...ZONES.map((zone) =>
        `${this.evacuated.has(zone) ? "evacuate" : "restore"} ${zone}`
      ),
    ];
  }

  #leave(endpoint: string, state: string, line: string): string[] {
    if (this.endpoints.get(endpoint) === "gone") {
      return [];
    }
    this.endpoints.set(endpoint, state);
    return [line];
  }
}

interface Due {
  readonly at: number;
  readonly lines: () => readonly string[];
}

function duesOf(step: Step, acknowledged: Acknowledged): Due[] {
  const { at, kind, entry, mode, away } = step;
  const end = at + step.for;
  const during = (begin: string, finish: string): Due[] => [
    { at, lines: () => [begin] },
    { at: end, lines: () => [finish] },
  ];
  switch (kind) {
    case "restore":
      return [
        { at, lines: () => ["copy_store"] },
        { at: end, lines: () => away < 100 ? [] : [`store ${mode}`] },
        { at: end + away, lines: () => ["restore_store", "store up"] },
        {
          at: end + away + REWRITTEN_MS,
          lines: () => acknowledged.rewritten(),
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
      return [{ at, lines: () => acknowledged.change(step) }];
  }
}

function script(steps: readonly Step[], keyed: boolean): string {
  const acknowledged = new Acknowledged();
  const dues = steps.flatMap((item) => duesOf(item, acknowledged))
    .sort((left, right) => left.at - right.at);
  const calm = Math.max(...dues.map(({ at }) => at));
  const last = calm + LAST_CHANGE_MS;
  const lines = dues.flatMap((due) =>
    due.lines().map((line) => `at ${due.at}ms ${line}`)
  );
  return [
    "use three_regions",
    ...keyed ? ["customer clinic keys k1"] : [],
    ...lines,
    `at ${calm}ms heal`,
    `at ${calm}ms store up`,
    `at ${last}ms publish`,
    `at ${last}ms drain ew1`,
    `at ${last}ms evacuate west-a`,
    `at ${calm + IN_TOUCH_MS}ms expect in_force ${ENTRIES.join()}`,
  ].join("\n");
}

// Guards against any change that an entry in touch misses, over restores of the store and troubles of entries.
describe("what the store holds", () => {
  it("is in force at every entry in touch within its bound", () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 2, maxLength: 8 }),
        fc.boolean(),
        fc.nat(100),
        (steps, keyed, seed) => {
          const { failures } = runRoutes(script(steps, keyed), {
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
