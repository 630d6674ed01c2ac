/**
 * Measures the overhead of one entry: added time to the first byte, tokens per second and memory. Requests go
 * to the engine directly and through the entry in turns, in one run: `npm run overhead`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  Client,
  Fleet,
  type FleetEntry,
  type FleetStandIn,
  readBlueprint,
} from "../index.ts";

const FIRST_BYTE_ROUNDS = 300;
const CONCURRENT_STREAMS = 200;
const STREAM_TOKENS = 400;
const FAST_ENGINE = {
  slots: 400,
  prefillRate: 1_000_000,
  decodeMs: 5,
  model: "guest-8b@v1",
};
const PROMPT = "Where do I find my host?";
const KIB_PER_MIB = 1_024;

const fleet = new Fleet({
  ...readBlueprint("peachtree"),
  entries: [{ zone: "atlanta-a", region: "atlanta" }],
  engines: [{ zone: "atlanta-a", region: "atlanta" }],
  plainServices: [{ zone: "atlanta-a", region: "atlanta" }],
  engine: FAST_ENGINE,
});
await fleet.start();
const entry = fleet.entries[0]!;
const engine = fleet.standInsOfKind("engine")[0]!;
const client = new Client("demo-clinic-north");
// Raises the customers' rate limits, which would otherwise limit the measured throughput.
await fleet.publishConfiguration(
  fleet.blueprint.configurationText.replaceAll(
    /requests_per_s = \d+/g,
    "requests_per_s = 100000",
  ),
);
try {
  console.log(await measure());
} finally {
  await client.close();
  await fleet.stop();
}

async function measure(): Promise<string> {
  const idleMb = rssMb(entry);
  const { direct, viaEntry } = await measureFirstByteTimes(
    engine,
    entry,
  );
  const { perSecond, peakMb, cpuShare } = await measureThroughput(entry);
  const row = (name: string, values: number[]): string =>
    `| ${name} | ${quantile(values, 0.5).toFixed(2)} | ${
      quantile(values, 0.99).toFixed(2)
    } |`;
  const added = viaEntry.map((value, index) => value - direct[index]!);
  return [
    `| time to first byte, ms (${FIRST_BYTE_ROUNDS} in turns) | median | p99 |`,
    "| --- | --- | --- |",
    row("engine directly", direct),
    row("through one entry", viaEntry),
    row("added, by pairs", added),
    "",
    `Tokens a second through one process, ${CONCURRENT_STREAMS} streams at once: ${
      Math.round(perSecond)
    }`,
    `CPU of the entry meanwhile: ${(cpuShare * 100).toFixed(0)}% of a core`,
    `RSS of the entry: ${idleMb.toFixed(0)} MB idle, ${
      peakMb.toFixed(0)
    } MB under ${CONCURRENT_STREAMS} streams`,
  ].join("\n");
}

async function measureFirstByteTimes(
  engineTarget: FleetStandIn,
  entryTarget: FleetEntry,
): Promise<{ direct: number[]; viaEntry: number[] }> {
  const times = { direct: [] as number[], viaEntry: [] as number[] };
  for (let round = 0; round < FIRST_BYTE_ROUNDS; round++) {
    times.direct.push(
      await measureFirstByte(`${engineTarget.url}/v1/generate`),
    );
    times.viaEntry.push(
      await measureFirstByte(`${entryTarget.url}/v1/chat/completions`),
    );
  }
  return times;
}

async function measureFirstByte(url: string): Promise<number> {
  const startedAt = performance.now();
  const response = await fetch(url, {
    method: "POST",
    headers: {
      authorization: "Bearer demo-clinic-north",
      "content-type": "application/json",
      "x-request-id": "direct",
    },
    body: JSON.stringify({
      stream: true,
      max_tokens: 1,
      messages: [{ role: "user", content: PROMPT }],
    }),
  });
  const reader = response.body!.getReader();
  await reader.read();
  const elapsed = performance.now() - startedAt;
  while (!(await reader.read()).done) {
    // Reads to the end so that the connection can be reused.
  }
  return elapsed;
}

async function measureThroughput(
  target: FleetEntry,
): Promise<{ perSecond: number; peakMb: number; cpuShare: number }> {
  let peakMb = 0;
  const timer = setInterval(() => {
    peakMb = Math.max(peakMb, rssMb(target));
  }, 100);
  const startedAt = performance.now();
  const cpuBefore = cpuSeconds(target);
  const answers = await Promise.all(
    Array.from(
      { length: CONCURRENT_STREAMS },
      () =>
        client.streamChat(target.url, {
          prompt: PROMPT,
          maxTokens: STREAM_TOKENS,
          deadlineMs: 120_000,
        }),
    ),
  );
  clearInterval(timer);
  const seconds = (performance.now() - startedAt) / 1_000;
  const tokens = answers.reduce((sum, answer) => sum + answer.tokens, 0);
  const completeCount = answers.filter((answer) => answer.whole).length;
  if (completeCount !== CONCURRENT_STREAMS) {
    throw new Error(
      `Only ${completeCount} of ${CONCURRENT_STREAMS} streams were complete`,
    );
  }
  return {
    perSecond: tokens / seconds,
    peakMb,
    cpuShare: (cpuSeconds(target) - cpuBefore) / seconds,
  };
}

function rssMb({ child }: FleetEntry): number {
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) / KIB_PER_MIB;
}

function cpuSeconds({ child }: FleetEntry): number {
  const fields = readFileSync(`/proc/${child.pid}/stat`, "utf8").split(") ")[1]!
    .split(" ");
  const ticksPerSecond = 100;
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ]!;
}
