import { HEADERS, STORE_KEYS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventually,
  ProcessEntry,
  RawEngine,
  route,
} from "../../bytes/index.ts";
import {
  callRaw,
  Draw,
  ENDLESS_SHAPES,
  EndlessServer,
  type EndlessShape,
  peakMemoryOf,
  type Reader,
  resetPeakMemory,
  type ServedAnswer,
} from "../index.ts";

const MEGABYTE = 1_000_000;
const FIRST_SEED = Number(process.env.DRAWN_SEED ?? 1);
const SEEDS = Number(process.env.DRAWN_SEEDS ?? 3);
/** What the platform gives an entry. */
const MEMORY_LIMIT_BYTES = 350 * MEGABYTE;
const SERVED_SHARE = 0.9;
const SERIES_MS = 1_500;
const SOUND_INTERVAL_MS = 30;
const DEADLINE_MS = 3_000;
const MIN_REQUESTS = 8;
const MAX_REQUESTS = 40;
/** How often all requests of a series get the same shape. */
const SAME_SHAPE_SHARE = 0.5;
const ENDPOINTS = [
  { service: "near", region: "a", count: 4 },
  { service: "far", region: "b", count: 4 },
] as const;
const KINDS = ["once", "again", "stream", "resume"] as const;
const CHECK_SERIES = Number(process.env.DRAWN_CHECKS ?? 1);
const MAX_DOCUMENT_VERSION = 1_000;

interface DrawnRequest {
  readonly call: string;
  readonly kind: typeof KINDS[number];
  readonly service: string;
  readonly entry: number;
  readonly reader: Reader;
}

// Guards against an entry that endpoints which send without end take from its other callers.
describe("endpoints that send drawn bytes without end", () => {
  const engines = ["a", "a", "b", "b"].map((region, index) => ({
    engine: new RawEngine(`i-sound-${index}`, () => ({ events: 3 })),
    region,
  }));
  const fleet = new ByteFleet({
    engines,
    entries: ["a", "b"],
    processes: true,
  });
  const answers = new Map<string, ServedAnswer[]>();
  let servers: EndlessServer[] = [];
  let checks: ServedAnswer | undefined;
  let checked = 0;
  const reached = new Set<string>();

  beforeAll(async () => {
    await fleet.start();
    fleet.store.put(STORE_KEYS.document, documentOf(MAX_DOCUMENT_VERSION));
  });
  afterAll(async () => {
    await Promise.all(servers.map((server) => server.close()));
    await fleet.close();
  });

  function answerOf(request: string): ServedAnswer {
    if (request.startsWith("GET /health")) {
      checked++;
      return checks!;
    }
    const call = new RegExp(`^${HEADERS.callId}: (.*)\r$`, "im")
      .exec(request)![1]!;
    const left = answers.get(call)!;
    reached.add(call);
    return left.length > 1 ? left.shift()! : left[0]!;
  }

  async function publishEndpoints(seed: number): Promise<void> {
    await Promise.all(servers.map((server) => server.close()));
    servers = [];
    for (const { service, region, count } of ENDPOINTS) {
      for (let index = 0; index < count; index++) {
        const server = new EndlessServer(answerOf);
        servers.push(server);
        fleet.withdraw(`i-${service}-${seed - 1}-${index}`);
        fleet.publish(`i-${service}-${seed}-${index}`, {
          address: await server.listen(),
          region,
          service,
          cold_remaining_ms: 0,
        });
      }
    }
    await eventually(() => askUntilKnown(seed));
  }

  /** Whether both entries send requests to the endpoints of this seed. */
  async function askUntilKnown(seed: number): Promise<boolean> {
    const known = await Promise.all(
      fleet.entries.flatMap((_, entry) =>
        ENDPOINTS.map(async ({ service }, index) => {
          const call = `known-${seed}-${entry}-${index}-${Math.random()}`;
          const head =
            `HTTP/1.1 200 OK\r\n${HEADERS.callId}: ${call}\r\n${HEADERS.seal}: s\r\n`;
          const text = `${head}content-length: 2\r\n\r\nok`;
          answers.set(call, [{ kind: "whole", text }]);
          const path = `/again-${service}/x`;
          return (await fleet.ask(call, { path, entry, time: 500 })).status;
        })
      ),
    );
    return known.every((status) => status === 200);
  }

  function drawCheck(draw: Draw): ServedAnswer {
    return {
      kind: "endless",
      shape: draw.shape(),
      pace: draw.pace(),
      context: { call: "check", stream: false, firstEvent: 1 },
    };
  }

  function drawRequest(
    draw: Draw,
    call: string,
    common: EndlessShape | undefined,
  ): DrawnRequest {
    const kind = draw.oneOf(KINDS);
    const stream = kind === "stream" || kind === "resume" || draw.chance(0.2);
    const resumed = kind === "resume" && draw.chance(0.6);
    const endless: ServedAnswer = {
      kind: "endless",
      shape: common ?? draw.shape(),
      pace: draw.pace(),
      context: { call, stream, firstEvent: resumed ? 3 : 1 },
    };
    const begun: ServedAnswer = {
      kind: "broken",
      text:
        `HTTP/1.1 200 OK\r\n${HEADERS.callId}: ${call}\r\n${HEADERS.seal}: s\r\n` +
        "content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid",
    };
    answers.set(call, resumed ? [begun, endless] : [endless]);
    return {
      call,
      kind,
      service: draw.oneOf(ENDPOINTS).service,
      entry: draw.between(0, 1),
      reader: draw.reader(SERIES_MS),
    };
  }

  async function send(
    { call, kind, service, entry, reader }: DrawnRequest,
  ): Promise<void> {
    const isStream = kind === "stream" || kind === "resume";
    const request = [
      `POST /${kind}-${service}/x HTTP/1.1`,
      "host: kiosk.example",
      `${HEADERS.callId}: ${call}`,
      `${HEADERS.timeLeft}: ${DEADLINE_MS}`,
      ...isStream ? [`${HEADERS.tokenCounts}: 10,100`] : [],
      "content-length: 0",
    ].join("\r\n");
    await callRaw(fleet.entries[entry]!.callers, {
      request: `${request}\r\n\r\n`,
      reader,
      timeMs: SERIES_MS,
    });
  }

  /** Sends sound requests for the time of a series; resolves with the share that is served. */
  async function sendSound(seed: number, entry: number): Promise<number> {
    const until = performance.now() + SERIES_MS;
    const sent: Promise<boolean>[] = [];
    while (performance.now() < until) {
      const call = `sound-${seed}-${entry}-${sent.length}`;
      const options = { entry, path: "/plain/x", time: DEADLINE_MS };
      sent.push(
        fleet.ask(call, options).then(({ status, end }) =>
          status === 200 && end === "whole"
        ),
      );
      await new Promise((done) => setTimeout(done, SOUND_INTERVAL_MS));
    }
    const served = (await Promise.all(sent)).filter(Boolean).length;
    return served / sent.length;
  }

  const seeds = Array.from({ length: SEEDS }, (_, at) => FIRST_SEED + at);
  /** Plays the series of a seed, or one whose requests all get the same shape. */
  async function play(seed: number, shape?: EndlessShape): Promise<void> {
    const draw = new Draw(seed);
    checks = drawCheck(draw);
    await publishEndpoints(seed);
    const drawn = draw.chance(SAME_SHAPE_SHARE) ? draw.shape() : undefined;
    const common = shape ?? drawn;
    const drawnCount = draw.between(MIN_REQUESTS, MAX_REQUESTS);
    const requests = Array.from(
      { length: shape === undefined ? drawnCount : MAX_REQUESTS },
      (_, index) => drawRequest(draw, `drawn-${seed}-${index}`, common),
    );
    (fleet.entries as ProcessEntry[]).forEach(({ pid }) =>
      resetPeakMemory(pid)
    );
    const [shares] = await Promise.all([
      Promise.all(fleet.entries.map((_, entry) => sendSound(seed, entry))),
      ...requests.map(send),
    ]);
    const entries = fleet.entries as ProcessEntry[];
    const peaks = entries.map(({ pid }) => peakMemoryOf(pid));
    const arrived = requests.filter(({ call }) => reached.has(call)).length;
    if (process.env.DRAWN_PRINT !== undefined) {
      const sent = servers.map(({ sentBytes }) => sentBytes / MEGABYTE);
      console.log(
        `seed ${seed}: ${arrived} of ${requests.length} requests arrived, ` +
          `peaks ${peaks.map((peak) => Math.round(peak / MEGABYTE))} MB, ` +
          `served ${
            shares.map((share) => share.toFixed(2))
          }, checks ${checked}, ` +
          `sent ${sent.map(Math.round)} MB, shape ${common?.name}`,
      );
    }
    servers.forEach((server) => server.dropConnections());
    entries.forEach((entry) => expect(entry.running).toBe(true));
    shares.forEach((share) =>
      expect(share).toBeGreaterThanOrEqual(SERVED_SHARE)
    );
    peaks.forEach((peak) => expect(peak).toBeLessThan(MEMORY_LIMIT_BYTES));
  }

  it.each(seeds)(
    "leave an entry its memory and its callers, seed %i",
    (seed) => play(seed),
  );

  // Guards against chunks that each take a hundred times their size while they are held and sent on.
  it("leave an entry its memory with chunks of a byte at many requests", async () => {
    const shape = ENDLESS_SHAPES.find(({ name }) =>
      name === "body of chunks of a byte"
    );
    await play(FIRST_SEED + SEEDS, shape);
  });

  // Guards against health checks whose answers fill an entry's memory. They are sent while the store is silent.
  it("leave an entry its memory when they are asked for their health", async () => {
    const seed = FIRST_SEED + SEEDS + 1;
    const draw = new Draw(seed);
    await publishEndpoints(seed);
    (fleet.entries as ProcessEntry[]).forEach(({ pid }) =>
      resetPeakMemory(pid)
    );
    checks = drawCheck(draw);
    checked = 0;
    fleet.store.fault = "silent";
    await eventually(() => checked > 0);
    const shares: number[] = [];
    for (let series = 0; series < CHECK_SERIES; series++) {
      checks = drawCheck(draw);
      shares.push(
        ...await Promise.all(
          fleet.entries.map((_, entry) => sendSound(seed + series, entry)),
        ),
      );
    }
    fleet.store.fault = "none";
    const peaks = (fleet.entries as ProcessEntry[]).map(({ pid }) =>
      peakMemoryOf(pid)
    );
    if (process.env.DRAWN_PRINT !== undefined) {
      console.log(`${checked} checks, peaks ${peaks}, served ${shares}`);
    }
    shares.forEach((share) =>
      expect(share).toBeGreaterThanOrEqual(SERVED_SHARE)
    );
    peaks.forEach((peak) => expect(peak).toBeLessThan(MEMORY_LIMIT_BYTES));
  });
});

function documentOf(version: number): object {
  const limits = {
    header_bytes: 16_384,
    body_bytes: 65_536,
    header_ms: 3_000,
    idle_ms: 15_000,
  };
  const routes = ENDPOINTS.flatMap(({ service }) => [
    route(`once-${service}`, { kind: "non_idempotent", service, attempts: 1 }),
    route(`again-${service}`, { kind: "idempotent", service, attempts: 2 }),
    route(`stream-${service}`, { kind: "stream", service, attempts: 1 }),
    route(`resume-${service}`, {
      kind: "stream",
      service,
      attempts: 3,
      resumable: true,
    }),
  ]);
  const services = ENDPOINTS.map(({ service }) => ({
    name: service,
    connection_limit: 200,
    cold_s: 1,
    cold_per_s: 1_000,
    engine: { slots: 64, cache_tokens: 100_000 },
  }));
  return {
    version,
    limits,
    routes: [
      ...routes,
      route("plain", { kind: "idempotent", service: "pool", attempts: 3 }),
    ],
    services: [...services, {
      name: "pool",
      connection_limit: 200,
      cold_s: 0,
      cold_per_s: 0,
      engine: { slots: 64, cache_tokens: 100_000 },
    }],
  };
}
