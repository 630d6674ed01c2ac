import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Client, Fleet, readBlueprint, waitFor } from "../../index.ts";
import type { PublishedVm } from "../../stand_ins/index.ts";
import {
  callRaw,
  Draw,
  EndlessServer,
  type EndlessShape,
  peakMemoryOf,
  type Reader,
  resetPeakMemory,
  type ServedAnswer,
} from "../index.ts";

const MEGABYTE = 1_000_000;
const FIRST_SEED = Number(process.env.DRAWN_SEED ?? 1);
const SEEDS = Number(process.env.DRAWN_SEEDS ?? 2);
const MEMORY_LIMIT_BYTES = 350 * MEGABYTE;
const SERVED_SHARE = 0.9;
const SERIES_MS = 1_500;
const SOUND_INTERVAL_MS = 40;
const DEADLINE_MS = 3_000;
const MIN_REQUESTS = 8;
const MAX_REQUESTS = 40;
/** How often all requests of a series get the same shape. */
const SAME_SHAPE_SHARE = 0.5;
const TOKEN = "demo-clinic-north";
const POOLS = ["noisy", "notes", "badges"] as const;
const ENDPOINTS_PER_POOL = 3;
const KINDS = ["stream", "whole", "notes", "badges"] as const;
const PLACES = [
  { zone: "atlanta-a", region: "atlanta" },
  { zone: "atlanta-b", region: "atlanta" },
];
/** Seeds whose endpoints are published together, since an entry reads the list of VMs every few seconds. */
const BATCH_SEEDS = 2;
const REQUEST_SEED_OFFSET = 1_000_000;

/** The services of one seed of a batch. */
function servicesOf(slot: number): string {
  const plain = (name: string, repeatable: string): string => `
[service ${name}-${slot}]
kind = plain
repeatable = ${repeatable}
not_run_statuses = 429, 503
regions = atlanta
deadline_ms = 5000
`;
  return `
[service noisy-${slot}]
kind = model
model = guest-8b@v1
pool = noisy-${slot}
regions = atlanta
class = screen
deadline_ms = 15000
queue_limit = 256
${plain("notes", "yes")}${plain("badges", "no")}`;
}

interface DrawnRequest {
  readonly name: string;
  readonly kind: typeof KINDS[number];
  readonly entry: number;
  readonly owner: number;
  readonly reader: Reader;
}

/** An endpoint that answers requests, polls and orders as its draw says. */
interface NoisyEndpoint {
  readonly server: EndlessServer;
  readonly poll: ServedAnswer;
  readonly order: ServedAnswer;
}

// Guards against an entry that endpoints which send without end take from its other callers.
describe("endpoints of services that send drawn bytes without end", () => {
  const blueprint = readBlueprint("peachtree");
  const fleet = new Fleet({
    ...blueprint,
    configurationText: blueprint.configurationText +
      Array.from({ length: BATCH_SEEDS }, (_, slot) => servicesOf(slot)).join(
        "",
      ),
    entries: PLACES,
    engines: PLACES,
    plainServices: PLACES,
  });
  const client = new Client(TOKEN);
  const answers = new Map<string, ServedAnswer>();
  let endpoints: NoisyEndpoint[] = [];
  let owners: string[] = [];
  let polls = 0;
  let orders = 0;
  const reached = new Set<string>();

  beforeAll(async () => {
    await fleet.start();
    const listed = await client.entries(fleet.entries[0]!.url, "pool");
    owners = fleet.entries.map(({ id }) =>
      listed.find((entry) => entry.id === id)!.owner_token
    );
  });
  afterAll(async () => {
    await Promise.all(endpoints.map(({ server }) => server.close()));
    await client.close();
    await fleet.stop();
  });

  function soundReport(model: string): ServedAnswer {
    const body = JSON.stringify({ running: 0, slots: 64, model });
    const fields =
      `content-type: application/json\r\ncontent-length: ${body.length}`;
    return {
      kind: "whole",
      text: `HTTP/1.1 200 OK\r\n${fields}\r\n\r\n${body}`,
    };
  }

  function drawEndless(
    draw: Draw,
    stream: boolean,
    common?: EndlessShape,
  ): ServedAnswer {
    const context = { call: "drawn", stream, firstEvent: 1 };
    return {
      kind: "endless",
      shape: common ?? draw.shape(),
      pace: draw.pace(),
      context,
    };
  }

  function answerOf(request: string, endpoint: NoisyEndpoint): ServedAnswer {
    if (request.startsWith("GET /v1/load")) {
      polls++;
      return endpoint.poll;
    }
    if (request.startsWith("POST /v1/model")) {
      orders++;
      return endpoint.order;
    }
    const [name] = /drawn-\d+-\d+/.exec(request)!;
    const answer = answers.get(name)!;
    reached.add(name);
    const call = /^x-request-id: (.*)\r$/im.exec(request)![1]!;
    return answer.kind === "endless"
      ? { ...answer, context: { ...answer.context, call } }
      : answer;
  }

  async function publishBatch(firstSeed: number): Promise<void> {
    await Promise.all(endpoints.map(({ server }) => server.close()));
    endpoints = [];
    const vms: PublishedVm[] = [];
    for (let slot = 0; slot < BATCH_SEEDS; slot++) {
      vms.push(...await startEndpoints(firstSeed + slot, slot));
    }
    await fleet.putControl("vm-list", "vms", { vms: [...fleet.vms(), ...vms] });
    await waitFor("all entries to know the endpoints", async () => {
      const statuses = await Promise.all(
        fleet.entries.map((entry) => fleet.status(entry)),
      );
      return statuses.every((status) =>
        vms.every(({ id }) =>
          status.endpoints.some((known) =>
            known.id === id &&
            (known.state === "live" && known.slots > 0 ||
              id.endsWith("-faulty"))
          )
        )
      );
    });
  }

  async function startEndpoints(
    seed: number,
    slot: number,
  ): Promise<PublishedVm[]> {
    const draw = new Draw(seed);
    const vms: PublishedVm[] = [];
    for (const pool of POOLS) {
      for (let index = 0; index < ENDPOINTS_PER_POOL + 1; index++) {
        const isFaulty = index === ENDPOINTS_PER_POOL;
        const model = isFaulty && draw.chance(0.5) ? "other@v1" : "guest-8b@v1";
        const endpoint: NoisyEndpoint = {
          server: new EndlessServer((request) => answerOf(request, endpoint)),
          poll: isFaulty && model !== "other@v1"
            ? drawEndless(draw, false)
            : soundReport(model),
          order: drawEndless(draw, false),
        };
        endpoints.push(endpoint);
        vms.push({
          id: `${pool}-${seed}-${isFaulty ? "faulty" : index}`,
          role: "endpoint",
          ...PLACES[index % PLACES.length]!,
          url: `http://${await endpoint.server.listen()}`,
          pool: `${pool}-${slot}`,
          state: "live",
        });
      }
    }
    return vms;
  }

  function drawRequest(
    draw: Draw,
    name: string,
    common: EndlessShape | undefined,
  ): DrawnRequest {
    const kind = draw.oneOf(KINDS);
    const isChat = kind === "stream" || kind === "whole";
    answers.set(name, drawEndless(draw, isChat && draw.chance(0.8), common));
    return {
      name,
      kind,
      entry: draw.between(0, 1),
      owner: draw.between(0, 1),
      reader: draw.reader(SERIES_MS),
    };
  }

  async function send(
    { name, kind, entry, owner, reader }: DrawnRequest,
    slot: number,
  ): Promise<void> {
    const isChat = kind === "stream" || kind === "whole";
    const body = isChat
      ? JSON.stringify({
        stream: kind === "stream",
        max_tokens: 100_000,
        messages: [{ role: "user", content: name }],
      })
      : "{}";
    const path = isChat
      ? `/v1/models/noisy-${slot}/chat/completions`
      : `/v1/services/${kind}-${slot}/${name}`;
    const request = [
      `POST ${path} HTTP/1.1`,
      "host: entry",
      `authorization: Bearer ${TOKEN}`,
      "content-type: application/json",
      `sassafrasstep-deadline-ms: ${DEADLINE_MS}`,
      ...kind === "badges"
        ? [`idempotency-key: ${client.newKey(owners[owner]!)}`]
        : [],
      `content-length: ${body.length}`,
    ].join("\r\n");
    await callRaw(fleet.entries[entry]!.url.replace("http://", ""), {
      request: `${request}\r\n\r\n${body}`,
      reader,
      timeMs: SERIES_MS,
    });
  }

  /** Sends sound requests for the time of a series; resolves with the share that is served. */
  async function sendSound(entry: number): Promise<number> {
    const { url } = fleet.entries[entry]!;
    const until = performance.now() + SERIES_MS;
    const sent: Promise<boolean>[] = [];
    while (performance.now() < until) {
      sent.push(
        sent.length % 2 === 0
          ? client.streamChat(url, { prompt: "Hello", maxTokens: 3 }).then(
            ({ whole }) => whole,
            () => false,
          )
          : client.call(url, {
            service: "check-in",
            path: "/badges",
            body: "{}",
            key: client.newKey(owners[entry]!),
          }).then(({ status }) => status === 200, () => false),
      );
      await new Promise((done) => setTimeout(done, SOUND_INTERVAL_MS));
    }
    return (await Promise.all(sent)).filter(Boolean).length / sent.length;
  }

  const seeds = Array.from({ length: SEEDS }, (_, at) => FIRST_SEED + at);
  it.each(seeds)(
    "leave an entry its memory and its callers, seed %i",
    async (seed) => {
      const slot = (seed - FIRST_SEED) % BATCH_SEEDS;
      if (slot === 0) {
        await publishBatch(seed);
      }
      const draw = new Draw(seed + REQUEST_SEED_OFFSET);
      const common = draw.chance(SAME_SHAPE_SHARE) ? draw.shape() : undefined;
      const requests = Array.from(
        { length: draw.between(MIN_REQUESTS, MAX_REQUESTS) },
        (_, index) => drawRequest(draw, `drawn-${seed}-${index}`, common),
      );
      fleet.entries.forEach(({ child }) => resetPeakMemory(child.pid));
      const [shares] = await Promise.all([
        Promise.all(fleet.entries.map((_, entry) => sendSound(entry))),
        ...requests.map((request) => send(request, slot)),
      ]);
      const pids = fleet.entries.map(({ child }) => child.pid);
      const ended = fleet.entries.filter(({ child }) =>
        child.process.exitCode !== null || child.process.signalCode !== null
      );
      expect(ended.map(({ child }) => child.lines.slice(-5))).toEqual([]);
      const peaks = pids.map(peakMemoryOf);
      const arrived = requests.filter(({ name }) => reached.has(name)).length;
      if (process.env.DRAWN_PRINT !== undefined) {
        const sent = endpoints.reduce((sum, { server }) =>
          sum + server.sentBytes, 0) / MEGABYTE;
        console.log(
          `seed ${seed}: ${arrived} of ${requests.length} requests arrived, ` +
            `peaks ${
              peaks.map((peak) => Math.round(peak / MEGABYTE))
            } MB, ` +
            `served ${shares.map((share) => share.toFixed(2))}, ` +
            `${polls} polls, ${orders} orders, ` +
            `sent ${Math.round(sent)} MB, shape ${common?.name}`,
        );
      }
      endpoints.forEach(({ server }) => server.dropConnections());
      expect(arrived).toBeGreaterThan(requests.length / 2);
      shares.forEach((share) =>
        expect(share).toBeGreaterThanOrEqual(SERVED_SHARE)
      );
      peaks.forEach((peak) => expect(peak).toBeLessThan(MEMORY_LIMIT_BYTES));
    },
  );
});
