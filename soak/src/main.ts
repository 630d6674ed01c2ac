/**
 * Command line of the soak test: plays streams over real sockets with faults drawn from a seed and checks every
 * byte. The exit code is 1 if a guarantee was violated; reports call that a broken promise.
 *
 * @module
 */
import meow from "meow";
import {
  planWave,
  playWave,
  REGRESSIONS,
  WAVE_KINDS,
  type WaveResult,
} from "./index.ts";

const MS_PER_MINUTE = 60_000;

const cli = meow(
  `
  Usage
    $ npm run soak -- --seed N --minutes M   play waves of a seed for some minutes
    $ npm run soak -- --seeds A-B            play one wave of each kind for many seeds
    $ npm run soak -- --replay SEED:WAVE     play one wave again
    $ npm run soak -- --regressions          play all waves that ever failed

  Options
    --kinds A,B  kinds of waves, default all
    --first      stop at the first broken promise
    --entries K  entries of a wave, default 4
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: "number", default: 1 },
      minutes: { type: "number", default: 1 },
      seeds: { type: "string" },
      replay: { type: "string" },
      regressions: { type: "boolean", default: false },
      entries: { type: "number", default: 4 },
      kinds: { type: "string", default: WAVE_KINDS.join() },
      first: { type: "boolean", default: false },
    },
  },
);

const { seed, minutes, seeds, replay, entries, first: stopAtFirstFailure } =
  cli.flags;
const kinds = new Set(cli.flags.kinds.split(","));
const failedWaves: string[] = [];
const startedAt = performance.now();
let waveCount = 0;
for (const [waveSeed, wave] of selectWaves()) {
  if (kinds.has(WAVE_KINDS[wave % WAVE_KINDS.length]!)) {
    await playAndReport(waveSeed, wave);
  }
  if (stopAtFirstFailure && failedWaves.length > 0) {
    break;
  }
}
console.log(
  `${waveCount} waves, ${failedWaves.length} failed ${failedWaves.join(" ")}`,
);
// Sockets that were reset at the last moment can keep Node.js from exiting by itself.
process.exit(failedWaves.length === 0 ? 0 : 1);

/** Yields seed and number of each wave to play. */
function* selectWaves(): Generator<[number, number]> {
  if (replay !== undefined) {
    const [waveSeed, wave] = replay.split(":").map(Number);
    yield [waveSeed!, wave ?? 0];
  } else if (cli.flags.regressions) {
    yield* REGRESSIONS.map(({ seed, wave }): [number, number] => [seed, wave]);
  } else if (seeds !== undefined) {
    const [first, last] = seeds.split("-").map(Number);
    for (let waveSeed = first!; waveSeed <= (last ?? first!); waveSeed++) {
      for (let wave = 0; wave < WAVE_KINDS.length; wave++) {
        yield [waveSeed, wave];
      }
    }
  } else {
    const end = startedAt + minutes * MS_PER_MINUTE;
    for (let wave = 0; performance.now() < end; wave++) {
      yield [seed, wave];
    }
  }
}

async function playAndReport(waveSeed: number, wave: number): Promise<void> {
  const result = await playWave(planWave(waveSeed, { wave, entries }));
  waveCount++;
  console.log(formatProgress(result));
  if (result.broken.length > 0) {
    failedWaves.push(`${waveSeed}:${wave}`);
    console.log(formatFailure(result));
  }
}

function formatProgress({ plan, seen, broken }: WaveResult): string {
  const outcomeCounts = new Map<string, number>();
  for (const { answer: { status, end } } of seen) {
    const outcome = status === 200 ? end : String(status);
    outcomeCounts.set(outcome, (outcomeCounts.get(outcome) ?? 0) + 1);
  }
  const runCount = seen.reduce((sum, call) => sum + call.runs.length, 0);
  const seconds = Math.round((performance.now() - startedAt) / 1_000);
  const outcomes = [...outcomeCounts].map(([name, count]) => `${count} ${name}`)
    .join(", ");
  return `${seconds} s  seed ${plan.seed} wave ${plan.wave} ${plan.kind}: ${seen.length} requests, ${runCount} runs, ${outcomes}, ${broken.length} broken promises`;
}

function formatFailure({ plan, broken, folder }: WaveResult): string {
  const [first] = broken;
  const failedCase = plan.cases.find(({ call }) =>
    call === first!.call.split("-")[0]
  );
  return [
    `First broken promise: ${first!.call} ${first!.what}`,
    ...(failedCase === undefined
      ? []
      : [`Its plan: ${JSON.stringify(failedCase)}`]),
    `Whole plan, results and logs: ${folder}`,
    `Play it again: npm run soak -- --replay ${plan.seed}:${plan.wave} --entries ${plan.entries.length}`,
  ].join("\n");
}
