/**
 * A fleet of entries, in this process or in their own, with engines that send scripted bytes.
 *
 * @module
 */
import { API_PATHS, STORE_KEYS } from "@sassafrasstep/platform";
import { NETWORK_PREFIX } from "../platform/loopback.ts";
import { eventually, route } from "../platform/platform_fleet.ts";
import { StandInStore } from "../platform/stand_in_store.ts";
import type { SeenAnswer } from "./event_text.ts";
import { allocatePorts, LocalEntry } from "./local_entry.ts";
import { ProcessEntry } from "./process_entry.ts";
import { askStream, type StreamRequest } from "./stream_caller.ts";

const FIRST_HOST_NUMBER = 31;
const SERVICE = "pool";
const ROUTE_TIMEOUT_MS = 10_000;
const DEFAULT_BODY_BYTES = 65_536;

/** An endpoint that sends scripted bytes. */
export interface ScriptedEndpoint {
  readonly id: string;
  /** Starts listening; resolves with the address. */
  listen(): Promise<string>;
  close(): Promise<void>;
}

/** Engines and entries of a fleet. Region `a` consists of the zone `a-1`, and so on. */
export interface ByteFleetPlan {
  readonly engines: readonly {
    engine: ScriptedEndpoint;
    region?: string;
    /** Software version. */
    version?: string;
    service?: string;
  }[];
  /** The region of each entry. */
  readonly entries?: readonly string[];
  /** Most endpoints that a request is sent to. */
  readonly attempts?: number;
  /** Timeout of the routes, in milliseconds. */
  readonly timeout?: number;
  /** Whether each entry runs in its own process. */
  readonly processes?: boolean;
  /** Time limit of an entry's planned stop. */
  readonly stopSeconds?: number;
  /** Retries that all entries may make together beside a fraction of the requests; by default more than any test. */
  readonly retrySlack?: number | undefined;
  /** Largest body that the document allows. */
  readonly bodyBytes?: number;
}

/** An entry in this process or in its own. */
export type ByteEntry = LocalEntry | ProcessEntry;

/** Entries, raw engines and a stand-in store. */
export class ByteFleet {
  readonly store = new StandInStore();
  readonly entries: ByteEntry[] = [];
  readonly engines: {
    readonly engine: ScriptedEndpoint;
    readonly address: string;
  }[] = [];
  readonly #plan: ByteFleetPlan;
  #version = 1;

  constructor(plan: ByteFleetPlan) {
    this.#plan = plan;
  }

  /** Starts the store, the engines and the entries, and waits until all entries are ready. */
  async start(): Promise<void> {
    const { engines, entries = ["a"], stopSeconds, retrySlack } = this.#plan;
    const start = this.#plan.processes ? ProcessEntry.start : LocalEntry.start;
    const storeAddress = await this.store.listen();
    for (const { engine, region = "a", version = "v1", service } of engines) {
      const address = await engine.listen();
      this.engines.push({ engine, address });
      const fields = service === undefined ? {} : { service };
      this.publish(engine.id, { address, region, version, born: 1, ...fields });
    }
    this.publishDocument();
    const hosts = entries.map((_, index) =>
      `${NETWORK_PREFIX}.${FIRST_HOST_NUMBER + index}`
    );
    const [peerPort] = allocatePorts(1);
    const zones = Object.fromEntries(
      [...new Set(entries)].map((region) => [`${region}-1`, region]),
    );
    for (const [index, region] of entries.entries()) {
      this.entries.push(
        await start({
          name: `entry-${index + 1}`,
          host: hosts[index]!,
          zone: `${region}-1`,
          region,
          peerPort: peerPort!,
          seeds: hosts.map((host) => `${host}:1`),
          zones,
          storeAddress,
          stopSeconds,
          retrySlack,
        }),
      );
    }
    await Promise.all(this.entries.map(waitUntilReady));
  }

  /** Publishes a newer document; `fields` override those of its resumable route. */
  publishDocument(fields: object = {}): void {
    this.#version += 2;
    const {
      attempts = 3,
      timeout = ROUTE_TIMEOUT_MS,
      bodyBytes = DEFAULT_BODY_BYTES,
    } = this.#plan;
    this.store.put(
      STORE_KEYS.document,
      buildDocument(this.#version, { attempts, timeout, bodyBytes, fields }),
    );
  }

  /** Writes an engine's record to the store. */
  publish(
    id: string,
    { address, region = "a", ...fields }: {
      address: string;
      region?: string;
      readonly [field: string]: unknown;
    },
  ): void {
    this.store.put(`${STORE_KEYS.endpoint}${id}`, {
      service: SERVICE,
      address,
      zone: `${region}-1`,
      version: "v1",
      slots: 64,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      ...fields,
    });
  }

  /** Removes an engine's record from the store. */
  withdraw(id: string): void {
    this.store.remove(`${STORE_KEYS.endpoint}${id}`);
  }

  /** Requests a stream from an entry, by default on the resumable route. */
  ask(
    call: string,
    { entry = 0, ...rest }:
      & Partial<StreamRequest>
      & { readonly entry?: number } = {},
  ): Promise<SeenAnswer> {
    return askStream(this.entries[entry]!.callers, {
      call,
      path: "/resume/x",
      ...rest,
    });
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await Promise.all(this.#plan.engines.map(({ engine }) => engine.close()));
    await this.store.close();
  }
}

/** Waits until an entry is ready; on a timeout the error contains its log. */
async function waitUntilReady(entry: ByteEntry): Promise<void> {
  try {
    await eventually(async () =>
      (await fetch(`http://${entry.readiness}${API_PATHS.ready}`)).status ===
        200
    );
  } catch (cause) {
    const lines = entry.lines().map(({ text }) => text).join(" ");
    throw new Error(`Entry is not ready, its log: "${lines}"`, { cause });
  }
}

function buildDocument(
  version: number,
  { attempts, timeout, bodyBytes, fields }: {
    attempts: number;
    timeout: number;
    bodyBytes: number;
    fields: object;
  },
): object {
  const commonFields = {
    kind: "stream",
    service: SERVICE,
    timeout_ms: timeout,
  };
  return {
    version,
    routes: [
      route("resume", {
        ...commonFields,
        attempts,
        resumable: true,
        ...fields,
      }),
      route("once", { ...commonFields, attempts: 1 }),
      route("fixed", { ...commonFields, attempts }),
      route("plain", { ...commonFields, attempts, kind: "idempotent" }),
      route("action", { ...commonFields, attempts, kind: "non_idempotent" }),
    ],
    services: [{
      name: SERVICE,
      connection_limit: 200,
      cold_s: 0,
      cold_per_s: 0,
      engine: { slots: 64, cache_tokens: 100_000 },
    }],
    limits: {
      header_bytes: 16_384,
      body_bytes: bodyBytes,
      header_ms: 3_000,
      idle_ms: 15_000,
    },
  };
}
