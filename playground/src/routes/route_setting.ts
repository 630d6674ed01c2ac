/**
 * Parses the setting of a scenario, which are the lines before its steps, and sets up the world from it.
 *
 * @module
 */
import {
  type Customer,
  type CustomerId,
  type EndpointLife,
  type EndpointRecord,
  type GatewayBounds,
  keyDigest,
  type Milliseconds,
  milliseconds,
  type RegionId,
  type Route,
  type RouteKind,
  type RouteName,
  type ServiceId,
  type ZoneId,
} from "@sassafrasstep/core";
import type { Spot } from "../scenario/network.ts";
import {
  type Line,
  option,
  parseTime,
  ScriptError,
  word,
} from "../scenario/script.ts";
import { FakeBackend } from "./fake_backend.ts";
import { addressOf, type RouteWorld } from "./route_world.ts";
import { readContention } from "./shared_machine.ts";

const DEFAULT_ENGINE_SLOTS = 64;
const DEFAULT_CACHE_TOKENS = 240_000;
const COLD_PERIOD_MS = 3_000;

/** Applies one line of a setting. */
export function setUp(world: RouteWorld, line: Line): void {
  const [kind, name = ""] = line.words;
  switch (kind) {
    case "region":
      line.words.slice(2).forEach((zone) =>
        world.spots.set(zone, { zone, region: name })
      );
      return;
    case "entry":
      world.addEntry(name, findSpot(world, line));
      return;
    // Towards others the entries behave as a build that knows nothing of streams' versions.
    case "old":
      line.words.slice(1).forEach((entry) => world.oldEntries.add(entry));
      return;
    case "bounds":
      world.bounds = readBounds(world, line);
      return;
    case "service":
      return addService(world, line);
    case "backend":
      return addBackend(world, line);
    case "route":
      world.store.routes.set(name, readRoute(line));
      return;
    case "customer":
      world.store.customers.set(name, readCustomer(line));
      return;
    default:
      throw new ScriptError(
        line,
        "region, entry, bounds, service, backend, route, customer or at",
      );
  }
}

/** `bounds slack N`: the retries that are allowed beside a fraction of the requests. */
export function readBounds(
  { bounds }: RouteWorld,
  line: Line,
): GatewayBounds {
  return { ...bounds, retrySlack: Number(option(line, "slack", "50")) };
}

/** `route NAME SERVICE KIND [host H] [attempts N] [timeout T] [objective T] [pause T] [homes R,R] [resumable]` */
export function readRoute(line: Line): Route {
  const name = word(line, 1, "a name");
  const homes = option(line, "homes", "");
  return {
    name: name as RouteName,
    host: option(line, "host", `${name}.example`),
    pathPrefix: option(line, "path", `/${name}/`),
    kind: word(line, 3, "a kind") as RouteKind,
    targets: [{ service: word(line, 2, "a service") as ServiceId, weight: 1 }],
    attempts: Number(option(line, "attempts", "1")),
    timeout: milliseconds(parseTime(line, option(line, "timeout", "5s"))),
    objective: milliseconds(parseTime(line, option(line, "objective", "1s"))),
    pauseObjective: readPause(line),
    priority: Number(option(line, "priority", "1")),
    homes: homes === "" ? [] : homes.split(",") as RegionId[],
    public: line.words.includes("public"),
    sticky: false,
    resumable: line.words.includes("resumable"),
  };
}

/**
 * `customer NAME keys K,K [rank N] [homes R,R] [limit N] [burst N] [tokens]`, with the limit in requests per second, or
 * in tokens per second
 */
export function readCustomer(line: Line): Customer {
  const list = (key: string): string[] =>
    option(line, key, "").split(",").filter((item) => item !== "");
  const rank = option(line, "rank", "");
  const limit = Number(option(line, "limit", "0"));
  return {
    id: word(line, 1, "a name") as CustomerId,
    keyDigests: list("keys").map(keyDigest),
    rank: rank === "" ? undefined : Number(rank),
    homes: list("homes") as RegionId[],
    limit: limit === 0 ? undefined : {
      unit: line.words.includes("tokens") ? "tokens" : "requests",
      perSecond: limit,
      burst: Number(option(line, "burst", String(limit))),
      plainTokens: 0,
    },
  };
}

function readPause(line: Line): Milliseconds | undefined {
  const text = option(line, "pause", "");
  return text === "" ? undefined : milliseconds(parseTime(line, text));
}

/** `service NAME [connections N] [engine [slots N] [cache N] [fetches]] [cold RATE]` */
function addService(world: RouteWorld, line: Line): void {
  const name = word(line, 1, "a name");
  world.store.services.set(name, {
    id: name as ServiceId,
    healthPath: "/health",
    connectionLimit: Number(option(line, "connections", "100")),
    coldRate: Number(option(line, "cold", "0")),
    coldPeriod: milliseconds(COLD_PERIOD_MS),
    engine: line.words.includes("engine")
      ? {
        slots: Number(option(line, "slots", String(DEFAULT_ENGINE_SLOTS))),
        cacheTokens: Number(
          option(line, "cache", String(DEFAULT_CACHE_TOKENS)),
        ),
        fetches: line.words.includes("fetches"),
      }
      : undefined,
  });
}

/**
 * `backend NAME ZONE SERVICE [slots N] [work T] [cold T] [id ID] [life N] [version V]
 * [contention SHARE:FACTOR:PERIOD]`: adds an endpoint and publishes its record.
 */
export function addBackend(world: RouteWorld, line: Line): void {
  const name = word(line, 1, "a name");
  const backend = new FakeBackend({
    name,
    id: option(line, "id", `i-${name}`),
    service: word(line, 3, "a service"),
    spot: findSpot(world, line),
    slots: Number(option(line, "slots", "8")),
    work: parseTime(line, option(line, "work", "20ms")),
    version: option(line, "version", "v1"),
    machine: world.createMachine(readContention(line)),
  }, { time: world.time, runs: world.runs, crashes: world.crashes });
  const life = Number(option(line, "life", "0"));
  backend.life = life === 0 ? undefined : life;
  world.backends.set(name, backend);
  world.store.put(
    recordOf(backend, {
      sequence: 1,
      coldFor: parseTime(line, option(line, "cold", "0ms")),
    }),
  );
}

/** Returns the record that a backend publishes. */
export function recordOf(
  backend: FakeBackend,
  { sequence, coldFor = 0, state = "ready", life = backend.life }: {
    sequence: number;
    coldFor?: number;
    state?: "ready" | "draining";
    life?: number | undefined;
  },
): EndpointRecord {
  return {
    id: backend.id,
    service: backend.service as ServiceId,
    address: addressOf(backend),
    zone: backend.spot.zone as ZoneId,
    softwareVersion: backend.version,
    slots: backend.slots,
    state,
    coldFor: milliseconds(coldFor),
    leavesIn: undefined,
    life: life as EndpointLife | undefined,
    sequence,
  };
}

function findSpot({ spots }: RouteWorld, line: Line): Spot {
  const spot = spots.get(word(line, 2, "a zone"));
  if (spot === undefined) {
    throw new ScriptError(line, "a zone of a region above");
  }
  return spot;
}
