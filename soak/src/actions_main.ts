/**
 * Command line of the soak test of actions: plays waves of requests over real sockets and processes while links and
 * processes fail, and judges them by what endpoints ran. The exit code is 1 if a guarantee was violated.
 *
 * @module
 */
import meow from "meow";
import {
  ACTION_WAVE_KINDS,
  type ActionWaveKind,
  type ActionWaveResult,
  planActionWave,
  playActionWave,
} from "./actions/index.ts";

const cli = meow(
  `
  Usage
    $ npm run soak:actions -- --seeds A-B   play the waves of many seeds

  Options
    --kinds A,B  kinds of waves, default all
    --jobs N   waves at the same time, default 1
    --first    stop at the first violated guarantee
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: { type: "string", default: "1-5" },
      kinds: { type: "string", default: ACTION_WAVE_KINDS.join(",") },
      jobs: { type: "number", default: 1 },
      first: { type: "boolean", default: false },
    },
  },
);

const [firstSeed, lastSeed] = cli.flags.seeds.split("-").map(Number);
const seeds = Array.from(
  { length: (lastSeed ?? firstSeed!) - firstSeed! + 1 },
  (_, index) => firstSeed! + index,
);
const kinds = cli.flags.kinds.split(",") as ActionWaveKind[];
const waves = seeds.flatMap((seed) => kinds.map((kind) => ({ seed, kind })));
const failedWaves: string[] = [];
let waveCount = 0;
await Promise.all(Array.from({ length: cli.flags.jobs }, playSeeds));
console.log(
  `${waveCount} waves, ${failedWaves.length} failed ${failedWaves.join(", ")}`,
);
// Sockets that were reset at the last moment can keep Node.js from exiting by itself.
process.exit(failedWaves.length === 0 ? 0 : 1);

async function playSeeds(): Promise<void> {
  for (;;) {
    const wave = waves.shift();
    if (wave === undefined || (cli.flags.first && failedWaves.length > 0)) {
      return;
    }
    const result = await playActionWave(
      planActionWave(wave.seed, wave.kind),
    );
    waveCount++;
    console.log(formatResult(result));
    if (result.broken.length > 0) {
      failedWaves.push(`${wave.kind} ${wave.seed}`);
    }
  }
}

function formatResult(
  { plan, broken, answers, runs, bodies, directoryAnswers, folder }:
    ActionWaveResult,
): string {
  const counts = new Map<string, number>();
  for (const { status, end } of answers) {
    const outcome = status === 200 ? end : `${status}`;
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  const outcomes = [...counts].map(([name, count]) => `${count} ${name}`);
  const violations = broken.map(({ call, what }) => `  ${call} ${what}`);
  return [
    `${plan.kind} seed ${plan.seed}: ${answers.length} requests, ${runs} runs, ${bodies} bodies relayed, ${directoryAnswers} lists, ${plan.faults.length} faults, ${
      outcomes.join(", ")
    }`,
    ...violations,
    ...folder === undefined ? [] : [`  Files: ${folder}`],
  ].join("\n");
}
