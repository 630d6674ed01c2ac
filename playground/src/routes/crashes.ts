/**
 * Simulates endpoint crashes: on their own, or caused by a request body that crashes every endpoint that
 * runs it. After a downtime, a new endpoint takes over the address.
 *
 * @module
 */
import type { FakeBackend } from "./fake_backend.ts";
import { addressOf, type RouteWorld } from "./route_world.ts";
import { recordOf } from "./route_setting.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** Time after a crash until the platform removes the endpoint's record. */
const RECORD_LIFETIME_MS = 3_000;
/** Default time from a crash until a new endpoint listens at the address. */
const DOWNTIME_MS = 7_000;
/** A request that crashes endpoints must be detected within this time after its third crash. */
const DETECTION_MS = 6_000;
const CRASHES_TO_DETECT = 3;
/** Number of sends of a detected request that are tolerated, over all entries. */
export const MAX_LATE_SENDS = 3;

/** How an endpoint crashes. */
export type CrashKind =
  /** Its connections are closed and new ones are refused. */
  | "close"
  /** Its connections hang and new ones time out. */
  | "dark"
  /** It answers its open requests with a failure and refuses new connections. */
  | "failure"
  /** Like `close`, but it restarts at once under the same id. */
  | "reborn";

/** One send of a poison body to an endpoint. */
interface EndpointSend {
  readonly at: number;
  /** Whether the sending entry had run long enough to have learned what its peers know. */
  readonly upToDate: boolean;
}

/** A request body that crashes every endpoint that runs it. */
interface PoisonBody {
  /** Time from the start of a run to the crash. */
  readonly crashAfterMs: number;
  readonly kind: CrashKind;
  readonly downtimeMs: number;
  /** Times at which it crashed an endpoint. */
  readonly crashTimes: number[];
  readonly sends: EndpointSend[];
}

/** Crashes endpoints and records which request bodies caused it. */
export class CrashSimulator {
  readonly poisonBodies = new Map<string, PoisonBody>();
  readonly #world: RouteWorld;
  readonly #fixedVersions = new Set<string>();
  #restartCount = 0;

  constructor(world: RouteWorld) {
    this.#world = world;
  }

  addPoisonBody(
    body: string,
    { crashAfterMs, kind, downtimeMs = DOWNTIME_MS }: {
      crashAfterMs: number;
      kind: CrashKind;
      downtimeMs?: number;
    },
  ): void {
    this.poisonBodies.set(body, {
      crashAfterMs,
      kind,
      downtimeMs,
      crashTimes: [],
      sends: [],
    });
  }

  /** Marks a software version as fixed: its endpoints no longer crash on poison bodies. */
  markFixed(version: string): void {
    this.#fixedVersions.add(version);
  }

  /** Records that a request has reached an endpoint that it may crash. */
  recordSend(
    call: string,
    { from, at }: { from: VirtualGateway; at: FakeBackend },
  ): void {
    if (this.#fixedVersions.has(at.version)) {
      return;
    }
    const { now } = this.#world.time;
    const upToDate = now - from.startedAt >= DETECTION_MS;
    this.#poisonBodyOf(call)?.sends.push({ at: now, upToDate });
  }

  /** Returns the time until a run of a request crashes its endpoint, `undefined` if it doesn't. */
  crashDelay(call: string, { version }: FakeBackend): number | undefined {
    return this.#fixedVersions.has(version)
      ? undefined
      : this.#poisonBodyOf(call)?.crashAfterMs;
  }

  /** Crashes an endpoint because of a request that it runs. */
  crashUnder(call: string, backend: FakeBackend): void {
    const poison = this.#poisonBodyOf(call)!;
    poison.crashTimes.push(this.#world.time.now);
    this.crash(backend, poison);
  }

  /** Crashes an endpoint; it is restarted or replaced after the downtime. */
  crash(
    backend: FakeBackend,
    { kind, downtimeMs = DOWNTIME_MS }: {
      kind: CrashKind;
      downtimeMs?: number;
    },
  ): void {
    const { store, time } = this.#world;
    backend.terminate(kind === "dark" ? "dark" : "refuse", {
      answers: kind === "failure",
    });
    if (kind === "reborn") {
      return this.#restart(backend);
    }
    time.after(RECORD_LIFETIME_MS, () => store.remove(backend.id));
    time.after(downtimeMs, () => this.#replace(backend));
  }

  /** Counts the sends of a body by up-to-date entries after it should have been detected. */
  lateSends(body: string): number {
    const { crashTimes, sends } = this.poisonBodies.get(body)!;
    const detectionStartsAt = crashTimes[CRASHES_TO_DETECT - 1] ?? Infinity;
    return sends.filter(({ at, upToDate }) =>
      upToDate && at > detectionStartsAt + DETECTION_MS
    ).length;
  }

  #poisonBodyOf(call: string): PoisonBody | undefined {
    return this.poisonBodies.get(this.#world.bodyOf(call));
  }

  #replace(backend: FakeBackend): void {
    const [base] = backend.name.split("/");
    this.#restartCount++;
    const name = `${base}/${this.#restartCount}`;
    const replacement = backend.createReplacement({ name, id: `i-${name}` });
    this.#world.backends.set(name, replacement);
    this.#world.store.put(recordOf(replacement, { sequence: 1 }));
  }

  #restart(backend: FakeBackend): void {
    this.#restartCount++;
    backend.mode = "answer";
    backend.life = this.#world.time.now + this.#restartCount;
    this.#world.store.put(recordOf(backend, { sequence: 1 }));
  }
}

/** Checks that no poison body was sent more often than tolerated after it should have been detected. */
export function checkPoisonBodies({ crashes }: RouteWorld): string[] {
  return [...crashes.poisonBodies.keys()].flatMap((body) => {
    const late = crashes.lateSends(body);
    const { crashTimes } = crashes.poisonBodies.get(body)!;
    return late <= MAX_LATE_SENDS ? [] : [
      `Body ${body} reached endpoints ${late} times after it should have been detected; it crashed ${crashTimes.length}`,
    ];
  });
}

/** Returns the backend that now has the address of the named one. */
export function currentBackend(world: RouteWorld, name: string): FakeBackend {
  const backend = world.backends.get(name)!;
  return world.backendAt(addressOf(backend)) ?? backend;
}
