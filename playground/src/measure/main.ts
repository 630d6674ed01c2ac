/**
 * Compares balancers over real processes: `npm run measure [-- CASE...]`. Each case runs with all balancers,
 * one after the other. `--write=FILE` writes the results as Markdown.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { Client, Fleet, readBlueprint } from "../index.ts";
import { CASES, type MeasuredCase } from "./cases.ts";
import { planLoad, runLoad } from "./load.ts";
import { formatResults, type MeasuredResult } from "./report.ts";

const BALANCERS = [
  "estimate",
  "round_robin",
  "least_in_flight",
  "random_of_two",
];
const REGION = "atlanta";

interface EngineState {
  readonly engine_ms: number;
  readonly prefilled_tokens: number;
}

const names = process.argv.slice(2).filter((argument) =>
  !argument.startsWith("--")
);
/** Restricts the run to one balancer: `--only=estimate`. */
const onlyBalancer = process.argv.find((argument) =>
  argument.startsWith("--only=")
)
  ?.slice("--only=".length);
const chosen = CASES.filter(({ name }) =>
  names.length === 0 || names.some((part) => name.includes(part))
);
const results: MeasuredResult[] = [];
for (const measured of chosen) {
  for (
    const balancer of BALANCERS.filter((name) =>
      name === (onlyBalancer ?? name)
    )
  ) {
    const result = await measureCase(measured, balancer);
    results.push(result);
    console.error(formatResults([result]).split("\n").at(-1));
  }
}
const table = formatResults(results);
console.log(table);
const writeArgument = process.argv.find((argument) =>
  argument.startsWith("--write=")
);
if (writeArgument !== undefined) {
  writeFileSync(
    writeArgument.slice("--write=".length),
    `# Measurements

${table}
`,
  );
}

async function measureCase(
  measured: MeasuredCase,
  balancer: string,
): Promise<MeasuredResult> {
  const blueprint = readBlueprint("peachtree");
  const configurationText = blueprint.configurationText.replace(
    "objective = tail",
    `objective = ${measured.objective}`,
  )
    .replaceAll(/requests_per_s = \d+/g, "requests_per_s = 10000");
  const fleet = new Fleet({
    ...blueprint,
    configurationText,
    engine: { ...blueprint.engine, ...measured.engine },
  }, { balancer });
  const clients = new Map(
    blueprint.customers.map(({ id, token }) => [id, new Client(token)]),
  );
  try {
    await fleet.start();
    const entries = await clients.get("clinic-north")!.entries(
      fleet.entriesInRegion(REGION)[0]!.url,
      "pool",
    );
    const halfway = setTimeout(
      () => void measured.halfway?.(fleet),
      (measured.shape.seconds * 1_000) / 2,
    );
    const observed = await runLoad(planLoad(measured.shape), {
      clients,
      entries,
    });
    clearTimeout(halfway);
    return {
      name: measured.name,
      balancer,
      observed,
      ...await readCounts(fleet),
    };
  } finally {
    await Promise.all([...clients.values()].map((client) => client.close()));
    await fleet.stop();
  }
}

async function readCounts(
  fleet: Fleet,
): Promise<
  Pick<
    MeasuredResult,
    "engineSeconds" | "prefilledTokens" | "spills" | "retries" | "refusals"
  >
> {
  const running = fleet.standInsOfKind("engine").filter(({ child }) =>
    child.process.signalCode === null
  );
  const states = await Promise.all(
    running.map(({ id }) => fleet.readControl<EngineState>(id, "state")),
  );
  const metrics = await Promise.all(
    fleet.entriesInRegion(REGION).map(({ controlUrl }) =>
      fleet.peers.at(controlUrl).metrics.query()
    ),
  );
  const counts = metrics.flatMap((report) => report.counts);
  const total = (name: string): number =>
    counts.filter((count) => count.name === name).reduce(
      (sum, { value }) => sum + value,
      0,
    );
  return {
    engineSeconds: states.reduce((sum, state) => sum + state.engine_ms, 0) /
      1_000,
    prefilledTokens: states.reduce(
      (sum, state) => sum + state.prefilled_tokens,
      0,
    ),
    spills: total("spills"),
    retries: total("retries"),
    refusals: total("refusals"),
  };
}
