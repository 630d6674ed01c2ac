/**
 * A fleet that speaks the platform's protocol: real entry processes, and stand-ins for the store and the endpoints.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  API_PATHS,
  SETTINGS_PATH_VARIABLE,
  STORE_KEYS,
} from "@sassafrasstep/platform";
import { NETWORK_PREFIX } from "./loopback.ts";
import { StandInEndpoint } from "./stand_in_endpoint.ts";
import { StandInStore, type StoreListener } from "./stand_in_store.ts";

const PROGRAM = fileURLToPath(
  new URL("../../../platform/dist/main.js", import.meta.url),
);
/**
 * Entries listen on ports below those that the system assigns to connections. Otherwise a connection could take an
 * entry's port before the entry listens, and the entry would not start.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 20_000;
/** Last octet of the first entry's address. Each entry has its own, so that all can use the same port for peers. */
const FIRST_HOST_NUMBER = 11;

/** An entry process with its addresses (`host:port`). */
export interface PlatformEntry {
  readonly name: string;
  readonly host: string;
  readonly callers: string;
  readonly directory: string;
  readonly readiness: string;
  readonly control: string;
  /** Path of the settings file. */
  readonly settings: string;
  process: ChildProcess;
}

/** Entry processes, stand-in endpoints and a stand-in store. */
export class PlatformFleet {
  readonly store = new StandInStore();
  readonly endpoints: StandInEndpoint[] = [];
  readonly entries: PlatformEntry[] = [];
  readonly #addresses = new Map<string, string>();
  readonly #sequences = new Map<string, number>();
  readonly #folder = mkdtempSync(join(tmpdir(), "fleet-"));
  #storeAddress = "";
  /** Store listeners that only one entry uses, by the entry's index. */
  readonly storeListeners = new Map<number, StoreListener>();
  /** Port of all entries for messages of peers. */
  peerPort = 0;
  #version = 1;
  /** Standard output of all entries. */
  output = "";
  readonly #bounds: string;
  readonly #endpoints: EndpointPlan;
  readonly #memoryMegabytes: number;
  readonly #bodyBytes: number;

  /**
   * @param options.memoryMegabytes Memory that an entry may use.
   * @param options.bodyBytes Largest body that the document allows.
   * @param options.bounds Further lines for the `[bounds]` section of the entries' settings.
   * @param options.endpoints Ids and services of the endpoints.
   */
  constructor(
    {
      bounds = "",
      endpoints = ENDPOINTS,
      memoryMegabytes = 512,
      bodyBytes = 65_536,
    }: {
      bounds?: string;
      endpoints?: EndpointPlan;
      memoryMegabytes?: number;
      bodyBytes?: number;
    } = {},
  ) {
    this.#memoryMegabytes = memoryMegabytes;
    this.#bodyBytes = bodyBytes;
    this.#bounds = bounds;
    this.#endpoints = endpoints;
  }

  /** Starts the store and the endpoints, and publishes the endpoints and the document. */
  async prepare(): Promise<void> {
    this.#storeAddress = await this.store.listen();
    this.peerPort = await freeUdpPort();
    for (const [id, service] of this.#endpoints) {
      this.publishEndpoint(id, {
        service,
        address: await this.addEndpoint(new StandInEndpoint(id)),
        state: "ready",
        sequence: 1,
      });
    }
    this.publishDocument(ROUTES);
  }

  /** Starts an endpoint without publishing it; resolves with its address. */
  async addEndpoint(endpoint: StandInEndpoint): Promise<string> {
    this.endpoints.push(endpoint);
    const address = await endpoint.listen();
    this.#addresses.set(endpoint.id, address);
    return address;
  }

  addressOf(id: string): string {
    return this.#addresses.get(id)!;
  }

  endpoint(id: string): StandInEndpoint {
    return this.endpoints.find((endpoint) => endpoint.id === id)!;
  }

  /** Writes the record of a plain endpoint again with the next sequence number, as a heartbeat does. */
  refreshRecord(id: string, fields: object = {}): void {
    const sequence = (this.#sequences.get(id) ?? 1) + 1;
    this.#sequences.set(id, sequence);
    this.publishEndpoint(id, {
      service: "plain",
      address: this.addressOf(id),
      state: "ready",
      sequence,
      ...fields,
    });
  }

  /** Store key of an endpoint's record. */
  endpointKey(id: string): string {
    return `${STORE_KEYS.endpoint}${id}`;
  }

  publishDocument(
    routes: readonly object[],
    tenants: readonly object[] = [],
  ): void {
    this.#version += 2;
    this.store.put(STORE_KEYS.document, {
      version: this.#version,
      routes,
      tenants,
      services: SERVICES,
      limits: {
        header_bytes: 16_384,
        body_bytes: this.#bodyBytes,
        header_ms: 3_000,
        idle_ms: 15_000,
      },
    });
  }

  publishEndpoint(id: string, fields: object): void {
    this.store.put(this.endpointKey(id), {
      zone: "a-1",
      version: "v1",
      slots: 8,
      cold_remaining_ms: 0,
      ...fields,
    });
  }

  /** Starts entries and waits until all are ready; those in `ownStoreListener` read the store at their own address. */
  async start(
    count: number,
    { ownStoreListener = [] }: { ownStoreListener?: readonly number[] } = {},
  ): Promise<void> {
    for (const index of ownStoreListener) {
      this.storeListeners.set(index, await this.store.addListener());
    }
    for (let index = 0; index < count; index++) {
      this.entries.push(await this.#startEntry(index));
    }
    await Promise.all(this.entries.map((entry) => this.waitUntilReady(entry)));
  }

  /** Kills an entry and starts it again with the same settings. */
  async restartEntry(entry: PlatformEntry): Promise<void> {
    entry.process.kill("SIGKILL");
    await once(entry.process, "exit");
    entry.process = this.#spawnEntry(entry.settings);
    await this.waitUntilReady(entry);
  }

  /** Waits until an entry is ready. */
  async waitUntilReady({ readiness }: PlatformEntry): Promise<void> {
    try {
      await eventually(async () => {
        const { status } = await fetch(`http://${readiness}${API_PATHS.ready}`);
        return status === 200;
      });
    } catch (cause) {
      throw new Error(
        `Entry is not ready, output of all entries:\n${this.output}`,
        {
          cause,
        },
      );
    }
  }

  /** Addresses that an entry's directory lists for a host name, sorted. */
  async listedAddresses(entry: PlatformEntry, host: string): Promise<string[]> {
    const query = `name=${host}&region=a&zone=a-1`;
    const answer = await fetch(
      `http://${entry.directory}${API_PATHS.resolve}?${query}`,
    );
    const { addresses } = await answer.json() as { addresses: string[] };
    return addresses.sort();
  }

  /** Endpoints whose id starts with `i-` and the prefix. */
  endpointsWithPrefix(prefix: string): StandInEndpoint[] {
    return this.endpoints.filter(({ id }) => id.startsWith(`i-${prefix}`));
  }

  async close(): Promise<void> {
    for (const { process } of this.entries) {
      if (process.exitCode === null && process.signalCode === null) {
        process.kill("SIGKILL");
        await once(process, "exit");
      }
    }
    await Promise.all(this.endpoints.map((endpoint) => endpoint.close()));
    await this.store.close();
    rmSync(this.#folder, { recursive: true });
  }

  async #startEntry(index: number): Promise<PlatformEntry> {
    const host = `${NETWORK_PREFIX}.${FIRST_HOST_NUMBER + index}`;
    const name = `entry-${index + 1}`;
    const ports = await Promise.all(
      Array.from({ length: 4 }, () => freePort(host)),
    );
    const [callers, directory, readiness, control] = ports.map((port) =>
      `${host}:${port}`
    );
    const settings = join(this.#folder, `${name}.ini`);
    writeFileSync(
      settings,
      `[entry]
id = ${name}
zone = a-1
region = a
memory_mb = ${this.#memoryMegabytes}
[addresses]
callers = ${callers}
directory = ${directory}
readiness = ${readiness}
control = ${control}
peers = ${host}:${this.peerPort}
[peers]
seeds = ${NETWORK_PREFIX}.${FIRST_HOST_NUMBER}:1
[zones]
a-1 = a
[store]
address = ${this.storeListeners.get(index)?.address ?? this.#storeAddress}
[bounds]
repeat_slack = 100
stop_s = 8
${this.#bounds}`,
    );
    return {
      name,
      host,
      callers: callers!,
      directory: directory!,
      readiness: readiness!,
      control: control!,
      settings,
      process: this.#spawnEntry(settings),
    };
  }

  #spawnEntry(settings: string): ChildProcess {
    const child = spawn(process.execPath, [PROGRAM], {
      env: { [SETTINGS_PATH_VARIABLE]: settings },
      stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout.on("data", (bytes: Buffer) => this.output += bytes);
    return child;
  }
}

/** Polls until a condition holds. A condition that throws counts as false. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < end) {
    if (await Promise.resolve(condition()).catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error("Condition was not met before the timeout");
}

async function freePort(host: string): Promise<number> {
  let port: number;
  do {
    port = FIRST_PORT + randomInt(PORT_COUNT);
  } while (!await isPortFree(host, port));
  return port;
}

async function isPortFree(host: string, port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}

async function freeUdpPort(): Promise<number> {
  const socket = createSocket("udp4");
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  await once(socket, "close");
  return port;
}

type EndpointPlan = readonly (readonly [id: string, service: string])[];

const ENDPOINTS = [
  ["i-p1", "plain"],
  ["i-p2", "plain"],
  ["i-e1", "pool"],
  ["i-e2", "pool"],
] as const;

/** Three endpoints of each service. */
export const THREE_ENDPOINTS_PER_SERVICE: EndpointPlan = [
  ["i-p1", "plain"],
  ["i-p2", "plain"],
  ["i-p3", "plain"],
  ["i-e1", "pool"],
  ["i-e2", "pool"],
  ["i-e3", "pool"],
];

const SERVICES = [
  { name: "plain", connection_limit: 100, cold_s: 0, cold_per_s: 0 },
  {
    name: "pool",
    connection_limit: 100,
    cold_s: 0,
    cold_per_s: 0,
    engine: { slots: 64, cache_tokens: 100_000 },
  },
];

/** Routes of the published document, each with its name as path prefix. */
export const ROUTES = [
  route("once", { kind: "non_idempotent", service: "plain", attempts: 1 }),
  route("again", { kind: "idempotent", service: "plain", attempts: 2 }),
  route("stream", { kind: "stream", service: "pool", attempts: 1 }),
  route("resume", {
    kind: "stream",
    service: "pool",
    attempts: 2,
    resumable: true,
  }),
];

/** A route of the document; `fields` override the defaults. */
export function route(name: string, fields: object): object {
  return {
    name,
    host: "kiosk.example",
    path_prefix: `/${name}/`,
    timeout_ms: 3_000,
    response_target_ms: 500,
    priority: 1,
    sticky: false,
    resumable: false,
    home_regions: [],
    ...fields,
  };
}
