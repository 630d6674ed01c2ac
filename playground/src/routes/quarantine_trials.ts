/**
 * Randomized trials of the quarantine. Endpoints crash for unrelated reasons while callers repeat harmless
 * requests, or because of poison bodies or poison parts of prompts sent among harmless ones.
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
/** Number of prompt parts that harmless requests share beside the first, which all streams have. */
const SHARED_PARTS = 24;
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
  /** Number of poison parts. Streams have shared parts if there are any. */
  readonly poisonPartCount: number;
  /** Whether streams have parts that they share with others. */
  readonly sharesParts: boolean;
  /** Route of the requests: `answer` streams, `notify` calls plain endpoints. */
  readonly kind: "answer" | "notify";
  /** Number of events in a stream. */
  readonly eventCount: number;
}

/** Result of a trial. */
export interface TrialOutcome {
  /** Harmless bodies that were refused as held. */
  readonly wronglyHeld: readonly string[];
  /** For each poison body or part: crashed endpoints, and sends after it should have been detected. */
  readonly poisons: readonly { crashCount: number; lateSends: number }[];
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
  for (let index = 1; index <= plan.poisonPartCount; index++) {
    addPoisonPartLoad(lines, { index, plan }, random);
  }
  lines.push("at 30s expect held nobody 0");
  const { world } = runRoutes(lines.join("\n"), { seed, loadSetting });
  const { crashes } = world;
  const isPoison = (call: string): boolean =>
    [world.bodyOf(call), ...world.sharedPartsOf(call)].some((name) =>
      crashes.poisons.has(name)
    );
  return {
    wronglyHeld: heldCalls(world).filter((call) => !isPoison(call)),
    poisons: [...crashes.poisons].map(([name, { crashTimes }]) => ({
      crashCount: crashTimes.length,
      lateSends: crashes.lateSends(name),
    })),
  };
}

function addHarmlessLoads(
  lines: string[],
  plan: TrialPlan,
  random: SeededRandomness,
): void {
  const { kind } = plan;
  for (let index = 1; index <= REPEATED_BODIES; index++) {
    const shape = shapeOf(plan, random);
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
    const shape = shapeOf(plan, random);
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
  { index, plan }: { index: number; plan: TrialPlan },
  random: SeededRandomness,
): void {
  const { kind } = plan;
  const crashAfterMs = Math.round(20 + random.next() * 400);
  const intervalMs = Math.round(200 + random.next() * 1_500);
  const at = Math.round(3_000 + random.next() * 3_000);
  const shape = shapeOf(plan, random);
  lines.push(`at 0s poison bad${index} after ${crashAfterMs}ms`);
  lines.push(
    `at ${at}ms load x${index} ${kind} via ${
      rotatedEntries(random)
    } count 30 every ${intervalMs}ms ${shape} body bad${index} from cx${index}`,
  );
}

function addPoisonPartLoad(
  lines: string[],
  { index, plan: { eventCount } }: { index: number; plan: TrialPlan },
  random: SeededRandomness,
): void {
  const crashAfterMs = Math.round(20 + random.next() * 400);
  const crashEvents = Math.floor(random.next() * 3);
  const intervalMs = Math.round(150 + random.next() * 1_500);
  const at = Math.round(3_000 + random.next() * 3_000);
  const poison = `part${index}:20`;
  const lists = Array.from({ length: 6 }, () => {
    const others = ["first:200", sharedPart(random), sharedPart(random)];
    others.splice(Math.floor(random.next() * 4), 0, poison);
    return others.join();
  });
  lines.push(
    `at 0s poison part${index} part after ${crashAfterMs}ms events ${crashEvents}`,
    `at ${at}ms load y${index} answer via ${
      rotatedEntries(random)
    } count 60 every ${intervalMs}ms prompt 600 events ${eventCount} shared ${
      lists.join("|")
    } from c1,c2,c3`,
  );
}

/** Options of the requests of a load: those of a stream may share parts with others, some of them popular. */
function shapeOf(
  { kind, eventCount, sharesParts }: TrialPlan,
  random: SeededRandomness,
): string {
  if (kind === "notify") {
    return "";
  }
  const parts = sharesParts ? ` shared first:200,${sharedPart(random)}` : "";
  return `prompt 600 events ${eventCount}${parts}`;
}

function sharedPart(random: SeededRandomness): string {
  return `s${Math.floor(random.next() ** 2 * SHARED_PARTS)}:40`;
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
