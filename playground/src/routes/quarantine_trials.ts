/**
 * Randomized trials of the quarantine. Endpoints crash for unrelated reasons while callers repeat harmless
 * requests, or because of poison bodies sent among harmless ones.
 *
 * @module
 */
import { SeededRandomness } from "@sassafrasstep/core";
import { heldCalls } from "./route_expectations.ts";
import { runRoutes } from "./run_routes.ts";

/** Entries, alternating between regions. */
export const ENTRIES = "n1,s2,w3,n2,s1,w1,n3,s3,w2";
const NORTH_BACKENDS = ["en1", "en2", "en3", "en4", "en5", "en6"];
const SOUTH_BACKENDS = ["es1", "es2", "es3", "es4"];
/** Number of bodies that their callers repeat, each up to `MAX_REPEATS` times. */
const REPEATED_BODIES = 60;
const MAX_REPEATS = 5;
/** Number of bodies that one caller sends at a steady rate, several times per second. */
const POPULAR_BODIES = 4;

/** Parameters of a trial. */
export interface TrialPlan {
  /** Number of endpoints that crash for unrelated reasons, one after the other. */
  readonly crashCount: number;
  readonly gapMs: number;
  /** Number of zones from which these endpoints are picked. */
  readonly zoneCount: 1 | 2;
  /** Number of poison bodies. */
  readonly poisonCount: number;
  /** Route of the requests: `answer` streams, `notify` calls plain endpoints. */
  readonly kind: "answer" | "notify";
  /** Number of events in a stream. */
  readonly eventCount: number;
}

/** Result of a trial. */
export interface TrialOutcome {
  /** Harmless bodies that were refused as held. */
  readonly wronglyHeld: readonly string[];
  /** For each poison body: crashed endpoints, and sends after it should have been detected. */
  readonly poisonBodies: readonly { crashCount: number; lateSends: number }[];
}

/** Runs one trial. */
export function runTrial(
  plan: TrialPlan,
  { seed, loadSetting }: {
    seed: number;
    loadSetting: (name: string) => string;
  },
): TrialOutcome {
  const random = new SeededRandomness(seed * 104_729);
  const lines = ["use engines_of_twelve"];
  addHarmlessLoads(lines, plan, random);
  addCrashes(lines, plan, random);
  for (let index = 1; index <= plan.poisonCount; index++) {
    addPoisonLoad(lines, { index, plan }, random);
  }
  lines.push("at 30s expect held nobody 0");
  const { world } = runRoutes(lines.join("\n"), { seed, loadSetting });
  const { crashes } = world;
  const poisonBodies = new Set(crashes.poisons.keys());
  return {
    wronglyHeld: heldCalls(world).map((call) => world.bodyOf(call))
      .filter((body) => !poisonBodies.has(body)),
    poisonBodies: [...crashes.poisons].map(([body, { crashTimes }]) => ({
      crashCount: crashTimes.length,
      lateSends: crashes.lateSends(body),
    })),
  };
}

function addHarmlessLoads(
  lines: string[],
  { kind, eventCount }: TrialPlan,
  random: SeededRandomness,
): void {
  const shape = kind === "answer" ? `prompt 600 events ${eventCount}` : "";
  for (let index = 1; index <= REPEATED_BODIES; index++) {
    const at = Math.round(2_000 + random.next() * 10_000);
    const count = 1 + Math.floor(random.next() * MAX_REPEATS);
    const intervalMs = Math.round(50 + random.next() * 1_500);
    lines.push(
      `at ${at}ms load r${index} ${kind} via ${
        rotatedEntries(random)
      } count ${count} every ${intervalMs}ms ${shape} body rb${index} from c${index}`,
    );
  }
  for (let index = 1; index <= POPULAR_BODIES; index++) {
    lines.push(
      `at 0s load p${index} ${kind} via ${
        rotatedEntries(random)
      } count 150 every 130ms ${shape} body pb${index} from c1`,
    );
  }
}

function addCrashes(
  lines: string[],
  { crashCount, gapMs, zoneCount, kind }: TrialPlan,
  random: SeededRandomness,
): void {
  if (crashCount === 0) {
    return;
  }
  const backends = kind === "notify"
    ? ["dn", "ds", "dw"]
    : zoneCount === 1
    ? NORTH_BACKENDS
    : [...NORTH_BACKENDS, ...SOUTH_BACKENDS];
  const drawn = Array.from({ length: crashCount }, (_, index) => {
    const order = shuffled(backends, random);
    return order[index % backends.length]!;
  });
  const names = [
    ...new Set(
      drawn.length <= backends.length
        ? shuffled(backends, random).slice(0, crashCount)
        : backends,
    ),
  ];
  const at = Math.round(4_000 + random.next() * 2_000);
  lines.push(`at ${at}ms end ${names.join(",")} every ${gapMs}ms down 5s`);
}

function addPoisonLoad(
  lines: string[],
  { index, plan: { kind, eventCount } }: { index: number; plan: TrialPlan },
  random: SeededRandomness,
): void {
  const crashAfterMs = Math.round(20 + random.next() * 400);
  const intervalMs = Math.round(200 + random.next() * 1_500);
  const at = Math.round(3_000 + random.next() * 3_000);
  const shape = kind === "answer" ? `prompt 600 events ${eventCount}` : "";
  lines.push(`at 0s poison bad${index} after ${crashAfterMs}ms`);
  lines.push(
    `at ${at}ms load x${index} ${kind} via ${
      rotatedEntries(random)
    } count 30 every ${intervalMs}ms ${shape} body bad${index} from cx${index}`,
  );
}

function rotatedEntries(random: SeededRandomness): string {
  const names = ENTRIES.split(",");
  const from = Math.floor(random.next() * names.length);
  return [...names.slice(from), ...names.slice(0, from)].join(",");
}

function shuffled(
  names: readonly string[],
  random: SeededRandomness,
): string[] {
  return names.map((name) => ({ name, sortKey: random.next() }))
    .sort((left, right) => left.sortKey - right.sortKey)
    .map(({ name }) => name);
}
