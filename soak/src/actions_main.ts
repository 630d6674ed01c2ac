/**
 * Command line of the soak test of actions: plays waves of requests over real sockets and processes while links and
 * processes fail, and judges them by what endpoints ran. The exit code is 1 if a guarantee was violated.
 *
 * @module
 */
import meow from "meow";
import {
  type ActionWaveResult,
  planActionWave,
  playActionWave,
} from "./actions/index.ts";

const cli = meow(
  `
  Usage
    $ npm run soak:actions -- --seeds A-B   play the waves of many seeds

  Options
    --jobs N   waves at the same time, default 1
    --first    stop at the first violated guarantee
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: { type: "string", default: "1-5" },
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
const failedSeeds: number[] = [];
let waveCount = 0;
await Promise.all(Array.from({ length: cli.flags.jobs }, playSeeds));
console.log(
  `${waveCount} waves, ${failedSeeds.length} failed ${failedSeeds.join(" ")}`,
);
// Sockets that were reset at the last moment can keep Node.js from exiting by itself.
process.exit(failedSeeds.length === 0 ? 0 : 1);

async function playSeeds(): Promise<void> {
  for (;;) {
    const seed = seeds.shift();
    if (seed === undefined || (cli.flags.first && failedSeeds.length > 0)) {
      return;
    }
    const result = await playActionWave(planActionWave(seed));
    waveCount++;
    console.log(formatResult(result));
    if (result.broken.length > 0) {
      failedSeeds.push(seed);
    }
  }
}

function formatResult(
  { plan, broken, answers, runs, folder }: ActionWaveResult,
): string {
  const counts = new Map<string, number>();
  for (const { status, end } of answers) {
    const outcome = status === 200 ? end : `${status}`;
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  const outcomes = [...counts].map(([name, count]) => `${count} ${name}`);
  const violations = broken.map(({ call, what }) => `  ${call} ${what}`);
  return [
    `seed ${plan.seed}: ${answers.length} requests, ${runs} runs, ${plan.faults.length} faults, ${
      outcomes.join(", ")
    }`,
    ...violations,
    ...folder === undefined ? [] : [`  Files: ${folder}`],
  ].join("\n");
}
