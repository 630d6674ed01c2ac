/**
 * Entries of this process before engines that say scripted bytes.
 *
 * @module
 */
import { API_PATHS, STORE_KEYS } from "@sassafrasstep/platform";
import { eventually, route } from "../platform/platform_fleet.ts";
import { StandInStore } from "../platform/stand_in_store.ts";
import type { SeenAnswer } from "./event_text.ts";
import { freePorts, LocalEntry } from "./local_entry.ts";
import { ProcessEntry } from "./process_entry.ts";
import type { RawEngine } from "./raw_engine.ts";
import { askStream, type StreamQuestion } from "./stream_caller.ts";

const FIRST_HOST = 31;
/** Each process has loopback addresses of its own: a port that is free is not taken by another one's fleet. */
const NET = `127.${1 + (process.pid >> 8) % 250}.${process.pid % 256}`;
const SERVICE = "pool";
const ROUTE_TIMEOUT_MS = 10_000;

/** Where an engine or an entry stands: a zone of the same name belongs to each region. */
export interface ByteFleetPlan {
  readonly engines: readonly { engine: RawEngine; region?: string }[];
  /** A region for each entry. */
  readonly entries?: readonly string[];
  /** Endpoints that one request may be sent to. */
  readonly attempts?: number;
  /** Milliseconds of the routes' timeouts. */
  readonly timeout?: number;
  /** Whether each entry is a process of its own. */
  readonly processes?: boolean;
  /** Time that a planned stop of an entry may take. */
  readonly stopSeconds?: number;
}

/** An entry, in this process or in one of its own. */
export type ByteEntry = LocalEntry | ProcessEntry;

/** A running fleet. */
export class ByteFleet {
  readonly store = new StandInStore();
  readonly entries: ByteEntry[] = [];
  readonly engines: { readonly engine: RawEngine; readonly address: string }[] =
    [];
  readonly #plan: ByteFleetPlan;
  #version = 1;

  constructor(plan: ByteFleetPlan) {
    this.#plan = plan;
  }

  /** Starts everything and waits until all serve. */
  async start(): Promise<void> {
    const { engines, entries = ["a"], stopSeconds } = this.#plan;
    const start = this.#plan.processes ? ProcessEntry.start : LocalEntry.start;
    const storeAddress = await this.store.listen();
    for (const { engine, region = "a" } of engines) {
      const address = await engine.listen();
      this.engines.push({ engine, address });
      this.publish(engine.id, { address, region, born: 1 });
    }
    this.publishDocument();
    const hosts = entries.map((_, index) => `${NET}.${FIRST_HOST + index}`);
    const [peerPort] = freePorts(1);
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
        }),
      );
    }
    await Promise.all(this.entries.map(served));
  }

  /** Publishes a newer document, with the given fields of the resumable route. */
  publishDocument(fields: object = {}): void {
    this.#version += 2;
    const { attempts = 3, timeout = ROUTE_TIMEOUT_MS } = this.#plan;
    this.store.put(
      STORE_KEYS.document,
      documentOf(this.#version, { attempts, timeout, fields }),
    );
  }

  /** Tells the entries of an engine. */
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

  /** The record of an engine goes from the store. */
  withdraw(id: string): void {
    this.store.remove(`${STORE_KEYS.endpoint}${id}`);
  }

  /** Asks an entry for a stream that may be resumed. */
  ask(
    call: string,
    { entry = 0, ...rest }:
      & Partial<StreamQuestion>
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

/** Waits until an entry serves; what it wrote tells why it does not. */
async function served(entry: ByteEntry): Promise<void> {
  try {
    await eventually(async () =>
      (await fetch(`http://${entry.readiness}${API_PATHS.ready}`)).status ===
        200
    );
  } catch (cause) {
    const lines = entry.lines().map(({ text }) => text).join(" ");
    throw new Error(`Entry does not serve, it wrote "${lines}"`, { cause });
  }
}

function documentOf(
  version: number,
  { attempts, timeout, fields }: {
    attempts: number;
    timeout: number;
    fields: object;
  },
): object {
  const common = {
    kind: "stream",
    service: SERVICE,
    timeout_ms: timeout,
  };
  return {
    version,
    routes: [
      route("resume", { ...common, attempts, resumable: true, ...fields }),
      route("once", { ...common, attempts: 1 }),
      route("fixed", { ...common, attempts }),
      route("plain", { ...common, attempts, kind: "idempotent" }),
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
      body_bytes: 65_536,
      header_ms: 3_000,
      idle_ms: 15_000,
    },
  };
}
