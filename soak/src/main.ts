/**
 * The soak: streams over real sockets with faults from a seed, judged byte by byte.
 *
 * Exit code 1 says that a promise was broken.
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
    --kinds A,B  kinds of waves, all where it is not given
    --first      end at the first broken promise
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

const { seed, minutes, seeds, replay, entries, first: atFirst } = cli.flags;
const kinds = new Set(cli.flags.kinds.split(","));
const failed: string[] = [];
const began = performance.now();
let waves = 0;
for (const [each, wave] of places()) {
  if (kinds.has(WAVE_KINDS[wave % WAVE_KINDS.length]!)) {
    await play(each, wave);
  }
  if (atFirst && failed.length > 0) {
    break;
  }
}
console.log(`${waves} waves, ${failed.length} failed ${failed.join(" ")}`);
// Sockets that were reset at the last moment can keep the runtime from ever ending by itself.
process.exit(failed.length === 0 ? 0 : 1);

/** Seeds and numbers of the waves to play. */
function* places(): Generator<[number, number]> {
  if (replay !== undefined) {
    const [each, wave] = replay.split(":").map(Number);
    yield [each!, wave ?? 0];
  } else if (cli.flags.regressions) {
    yield* REGRESSIONS.map(({ seed, wave }): [number, number] => [seed, wave]);
  } else if (seeds !== undefined) {
    const [first, last] = seeds.split("-").map(Number);
    for (let each = first!; each <= (last ?? first!); each++) {
      for (let wave = 0; wave < WAVE_KINDS.length; wave++) {
        yield [each, wave];
      }
    }
  } else {
    const end = began + minutes * MS_PER_MINUTE;
    for (let wave = 0; performance.now() < end; wave++) {
      yield [seed, wave];
    }
  }
}

async function play(each: number, wave: number): Promise<void> {
  const result = await playWave(planWave(each, { wave, entries }));
  waves++;
  console.log(progressOf(result));
  if (result.broken.length > 0) {
    failed.push(`${each}:${wave}`);
    console.log(failureOf(result));
  }
}

function progressOf({ plan, seen, broken }: WaveResult): string {
  const ends = new Map<string, number>();
  for (const { answer: { status, end } } of seen) {
    const name = status === 200 ? end : String(status);
    ends.set(name, (ends.get(name) ?? 0) + 1);
  }
  const runs = seen.reduce((sum, call) => sum + call.runs.length, 0);
  const seconds = Math.round((performance.now() - began) / 1_000);
  const all = [...ends].map(([name, count]) => `${count} ${name}`).join(", ");
  return `${seconds} s  seed ${plan.seed} wave ${plan.wave} ${plan.kind}: ${seen.length} requests, ${runs} runs, ${all}, ${broken.length} broken promises`;
}

function failureOf({ plan, broken, folder }: WaveResult): string {
  const [first] = broken;
  const found = plan.cases.find(({ call }) =>
    call === first!.call.split("-")[0]
  );
  return [
    `First broken promise: ${first!.call} ${first!.what}`,
    ...(found === undefined ? [] : [`Its plan: ${JSON.stringify(found)}`]),
    `Whole plan, results and logs: ${folder}`,
    `Play it again: npm run soak -- --replay ${plan.seed}:${plan.wave} --entries ${plan.entries.length}`,
  ].join("\n");
}
