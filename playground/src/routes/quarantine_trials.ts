/**
 * Trials of the quarantine under drawn circumstances: endpoints end of something else while callers repeat
 * good requests, or under a request that crashes what runs it among good ones.
 *
 * @module
 */
import { SeededRandomness } from "@sassafrasstep/core";
import { heldCalls } from "./route_expectations.ts";
import { runRoutes } from "./run_routes.ts";

/** Entries of all regions in turn. */
export const ENTRIES = "n1,s2,w3,n2,s1,w1,n3,s3,w2";
const NORTH = ["en1", "en2", "en3", "en4", "en5", "en6"];
const SOUTH = ["es1", "es2", "es3", "es4"];
/** Bodies that their callers repeat, each some times. */
const REPEATED = 60;
const MOST_REPEATS = 5;
/** Bodies that are sent on a schedule, many times a second, by one caller. */
const POPULAR = 4;

/** What is drawn. */
export interface TrialPlan {
  /** Endpoints that end of something else, one after the other. */
  readonly ends: number;
  readonly gapMs: number;
  /** Whether they are picked from two zones. */
  readonly zones: 1 | 2;
  /** Bodies that crash what runs them. */
  readonly poisons: number;
  /** Streams, or calls to plain endpoints. */
  readonly kind: "answer" | "notify";
  /** Events of a stream. */
  readonly events: number;
}

/** What came of it. */
export interface TrialOutcome {
  /** Good bodies that were refused as held back. */
  readonly wrong: readonly string[];
  /** For each bad body: endpoints that ended, and sends later than it had to be known. */
  readonly poisons: readonly { ends: number; lateSends: number }[];
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
  addGood(lines, plan, random);
  addEnds(lines, plan, random);
  for (let index = 1; index <= plan.poisons; index++) {
    addPoison(lines, { index, plan }, random);
  }
  lines.push("at 30s expect held nobody 0");
  const { world } = runRoutes(lines.join("\n"), { seed, loadSetting });
  const { crashes } = world;
  const bad = new Set(crashes.poisons.keys());
  return {
    wrong: heldCalls(world).map((call) => world.bodyOf(call))
      .filter((body) => !bad.has(body)),
    poisons: [...crashes.poisons].map(([body, { ends }]) => ({
      ends: ends.length,
      lateSends: crashes.lateSends(body),
    })),
  };
}

function addGood(
  lines: string[],
  { kind, events }: TrialPlan,
  random: SeededRandomness,
): void {
  const shape = kind === "answer" ? `prompt 600 events ${events}` : "";
  for (let index = 1; index <= REPEATED; index++) {
    const at = Math.round(2_000 + random.next() * 10_000);
    const count = 1 + Math.floor(random.next() * MOST_REPEATS);
    const every = Math.round(50 + random.next() * 1_500);
    lines.push(
      `at ${at}ms load r${index} ${kind} via ${
        rotated(random)
      } count ${count} every ${every}ms ${shape} body rb${index} from c${index}`,
    );
  }
  for (let index = 1; index <= POPULAR; index++) {
    lines.push(
      `at 0s load p${index} ${kind} via ${
        rotated(random)
      } count 150 every 130ms ${shape} body pb${index} from c1`,
    );
  }
}

function addEnds(
  lines: string[],
  { ends, gapMs, zones, kind }: TrialPlan,
  random: SeededRandomness,
): void {
  if (ends === 0) {
    return;
  }
  const all = kind === "notify"
    ? ["dn", "ds", "dw"]
    : zones === 1
    ? NORTH
    : [...NORTH, ...SOUTH];
  const picked = Array.from({ length: ends }, (_, index) => {
    const round = shuffled(all, random);
    return round[index % all.length]!;
  });
  const names = [
    ...new Set(
      picked.length <= all.length ? shuffled(all, random).slice(0, ends) : all,
    ),
  ];
  const at = Math.round(4_000 + random.next() * 2_000);
  lines.push(`at ${at}ms end ${names.join(",")} every ${gapMs}ms down 5s`);
}

function addPoison(
  lines: string[],
  { index, plan: { kind, events } }: { index: number; plan: TrialPlan },
  random: SeededRandomness,
): void {
  const after = Math.round(20 + random.next() * 400);
  const every = Math.round(200 + random.next() * 1_500);
  const at = Math.round(3_000 + random.next() * 3_000);
  const shape = kind === "answer" ? `prompt 600 events ${events}` : "";
  lines.push(`at 0s poison bad${index} after ${after}ms`);
  lines.push(
    `at ${at}ms load x${index} ${kind} via ${
      rotated(random)
    } count 30 every ${every}ms ${shape} body bad${index} from cx${index}`,
  );
}

function rotated(random: SeededRandomness): string {
  const names = ENTRIES.split(",");
  const from = Math.floor(random.next() * names.length);
  return [...names.slice(from), ...names.slice(0, from)].join(",");
}

function shuffled(
  names: readonly string[],
  random: SeededRandomness,
): string[] {
  return names.map((name) => ({ name, place: random.next() }))
    .sort((left, right) => left.place - right.place)
    .map(({ name }) => name);
}
