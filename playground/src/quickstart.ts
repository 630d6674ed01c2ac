/**
 * A short demonstration with stand-ins: entries in three regions, a streamed answer, a badge that is printed
 * once despite a retry at another entry, and the fleet's status.
 *
 * @module
 */
import { Client } from "./client/index.ts";
import {
  Child,
  Fleet,
  PLAYGROUND_SECRET,
  readBlueprint,
} from "./fleet/index.ts";

const fleet = new Fleet(readBlueprint("peachtree"));
try {
  await run();
} finally {
  await fleet.stop();
}

async function run(): Promise<void> {
  console.log(
    "Starting stand-ins and eight entries in three regions on loopback ...",
  );
  await fleet.start();
  const customer = fleet.blueprint.customers[0]!;
  const client = new Client(customer.token);
  const [first, second] = await client.entries(
    fleet.entries.at(-1)!.url,
    "pool",
  );
  console.log(
    `\nEntries for "${customer.id}" of ${customer.home}: ${first!.id}, then ${
      second!.id
    }`,
  );
  await askQuestion(client, first!.url);
  await printBadge(client, [first!, second!]);
  await client.close();
  await printStatus();
}

async function askQuestion(client: Client, url: string): Promise<void> {
  const answer = await client.streamChat(url, {
    prompt: "A visitor asks: where do I find my host?",
    maxTokens: 12,
  });
  console.log(
    `\nStreamed answer (${answer.tokens} tokens, whole: ${answer.whole}, verdict ${answer.verdict}):`,
  );
  console.log(` ${answer.text}`);
}

async function printBadge(
  client: Client,
  [owner, other]: [
    { url: string; owner_token: string; id: string },
    { url: string; id: string },
  ],
): Promise<void> {
  const call = {
    service: "check-in",
    path: "/badges",
    key: client.newKey(owner.owner_token),
    body: '{"visitor":"Ada"}',
  };
  const firstResponse = await client.call(owner.url, call);
  const repeatedResponse = await client.call(other.url, call);
  console.log(
    `\nBadge at ${owner.id}: ${firstResponse.status}, verdict ${firstResponse.verdict}`,
  );
  console.log(
    `The same key at ${other.id}: ${repeatedResponse.status}, verdict ${repeatedResponse.verdict}`,
  );
  const printers = fleet.standInsOfKind("plain");
  const runs = await Promise.all(
    printers.map(({ id }) =>
      fleet.readControl<{ runs: Record<string, number> }>(id, "runs")
    ),
  );
  const printed = runs.reduce(
    (sum, state) => sum + (state.runs[call.key] ?? 0),
    0,
  );
  console.log(`Badges printed: ${printed}`);
}

async function printStatus(): Promise<void> {
  console.log("\n$ sassafrasstep status");
  const args = [
    "status",
    "--control",
    fleet.entries[0]!.controlUrl,
    "--deployment",
    "peachtree",
  ];
  process.env["SASSAFRASSTEP_SECRET"] = PLAYGROUND_SECRET;
  const child = new Child("packages/cli/dist/main.js", args);
  const code = await child.exited;
  console.log(child.lines.join("\n"));
  console.log(`(exit code ${code})`);
}
