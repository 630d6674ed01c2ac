/**
 * Randomized trials of the retry budget: entries end, start, pause and are cut off, several at a time and in series,
 * while endpoints reject requests, break streams off and disappear.
 *
 * @module
 */
import { SeededRandomness } from "@sassafrasstep/core";
import { runRoutes } from "./run_routes.ts";

const ENTRIES = ["n1", "s1", "w1", "n2", "s2", "w2", "n3", "s3", "w3"];
const ZONES = ["north-a", "south-a", "west-a"];
const BACKENDS = ["en", "es", "ew"].flatMap((group) =>
  [1, 2, 3, 4].map((number) => `${group}${number}`)
);
const MODES = ["shed", "shed", "reject", "torn", "reset_before", "answer"];
const DURATION_MS = 40_000;
/** Entries start again after this time at the least, and this much more at the most. */
const MIN_DOWNTIME_MS = 200;
const DOWNTIME_RANGE_MS = 1_500;

/** Runs one trial and returns what it violates. */
export function runRetryTrial(
  seed: number,
  loadSetting: (name: string) => string,
): readonly string[] {
  const random = new SeededRandomness(seed * 7_919);
  const lines = [
    "use nine_entries",
    ...drawBackends(random),
    ...drawLoads(random),
    ...drawFaults(random),
    `at ${DURATION_MS}ms heal`,
  ];
  return runRoutes(lines.join("\n"), { seed, loadSetting }).failures;
}

/** Endpoints reject much of what they get, and fail in another way from some time on. */
function drawBackends(random: SeededRandomness): string[] {
  return BACKENDS.flatMap((backend) => {
    const at = Math.round(random.next() * DURATION_MS);
    return [
      `at 0s mode ${backend} shed`,
      `at ${at}ms mode ${backend} ${pick(MODES, random)}`,
    ];
  });
}

/** Demand is low or high, and may be with one region only. */
function drawLoads(random: SeededRandomness): string[] {
  return ["review", "chat"].map((route) => {
    const every = Math.round(40 + random.next() * 200);
    const region = pick(["n", "s", "w", ""], random);
    const entries = ENTRIES.filter((entry) => entry.startsWith(region));
    const count = Math.floor(DURATION_MS / every);
    return `at 0s load ${route} ${route} via ${entries.join()} ` +
      `count ${count} every ${every}ms prompt 400 events 12`;
  });
}

/** Draws at least three faults that overlap. */
function drawFaults(random: SeededRandomness): string[] {
  const steps: { at: number; text: string }[] = [];
  const add = (at: number, text: string): void => {
    steps.push({ at: Math.round(at), text });
  };
  const count = 3 + Math.floor(random.next() * 6);
  for (let index = 0; index < count; index++) {
    drawFault(add, random);
  }
  return steps.map(({ at, text }) => `at ${at}ms ${text}`);
}

function drawFault(
  add: (at: number, text: string) => void,
  random: SeededRandomness,
): void {
  const at = 2_000 + random.next() * (DURATION_MS - 12_000);
  const entry = pick(ENTRIES, random);
  const downtime = MIN_DOWNTIME_MS + random.next() * DOWNTIME_RANGE_MS;
  switch (Math.floor(random.next() * 7)) {
    case 0:
      return add(at, `cut ${entry}`);
    case 1:
      return add(at, `isolate ${pick(ZONES, random)}`);
    case 2:
      return add(at, "heal");
    case 3:
      add(at, `freeze ${entry}`);
      return add(at + 500 + random.next() * 5_000, `thaw ${entry}`);
    case 4:
      return drawSeries(add, { at, downtime }, random);
    case 5:
      add(at, `stop ${entry}`);
      add(at + 2_500, `kill ${entry}`);
      return add(at + 2_500 + downtime, `start ${entry}`);
    default:
      add(at, "kill_all");
      return add(at + downtime, "start_all");
  }
}

/** One entry, or all, start again several times in a row. */
function drawSeries(
  add: (at: number, text: string) => void,
  { at, downtime }: { at: number; downtime: number },
  random: SeededRandomness,
): void {
  const entry = pick(ENTRIES, random);
  const isWhole = random.next() < 0.5;
  const times = 2 + Math.floor(random.next() * 4);
  const gap = downtime + 500 + random.next() * 3_000;
  for (let index = 0; index < times; index++) {
    add(at + index * gap, isWhole ? "kill_all" : `kill ${entry}`);
    add(
      at + index * gap + downtime,
      isWhole ? "start_all" : `start ${entry}`,
    );
  }
}

function pick<Item>(items: readonly Item[], random: SeededRandomness): Item {
  return items[Math.floor(random.next() * items.length)]!;
}
