/**
 * Simulates endpoint crashes: on their own, or caused by a request body or a part of prompts that crashes
 * every endpoint that runs it. After a downtime, a new endpoint takes over the address.
 *
 * @module
 */
import type { CrashPolicy, FakeBackend } from "./fake_backend.ts";
import { addressOf, type RouteWorld } from "./route_world.ts";
import { recordOf } from "./route_setting.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** Time after a crash until the platform removes the endpoint's record. */
const RECORD_LIFETIME_MS = 3_000;
/** Default time from a crash until a new endpoint listens at the address. */
const DOWNTIME_MS = 7_000;
/** A cause of crashes must be detected within this time after the last of the crashes that show it. */
const DETECTION_MS = 6_000;
/** Number of crashes that show the cause. Requests with the same part have less in common than repeats of one body. */
const CRASHES_TO_DETECT = { body: 3, part: 5 } as const;
/** Number of sends that are tolerated after that, over all entries. */
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

/** One send of a poison to an endpoint. */
interface EndpointSend {
  readonly at: number;
  /** Whether the sending entry had time to learn what its peers know. */
  readonly upToDate: boolean;
}

/** How a poison crashes endpoints. */
interface PoisonOptions {
  /** What every request that crashes endpoints has: this body, or this part of its prompt, which is not the last. */
  readonly of: keyof typeof CRASHES_TO_DETECT;
  /** Time from the start of a run to the crash, at the least. */
  readonly crashAfterMs: number;
  /** Length of the span from which the time is drawn. */
  readonly crashSpanMs: number;
  /** Whether the endpoint answers the request as usual until it crashes, so that it may complete before. */
  readonly answersMeanwhile: boolean;
  /** Number of events that precede the crash. */
  readonly eventCount: number;
  readonly kind: CrashKind;
  readonly downtimeMs: number;
}

/** A request body or a part of prompts that crashes every endpoint that runs it. */
interface Poison extends PoisonOptions {
  /** Times at which it crashed an endpoint. */
  readonly crashTimes: number[];
  readonly sends: EndpointSend[];
}

/** Crashes endpoints and records which request bodies and prompt parts caused it. */
export class CrashSimulator {
  readonly poisons = new Map<string, Poison>();
  readonly #world: RouteWorld;
  readonly #fixedVersions = new Set<string>();
  #restartCount = 0;

  constructor(world: RouteWorld) {
    this.#world = world;
  }

  addPoison(name: string, options: PoisonOptions): void {
    this.poisons.set(name, { ...options, crashTimes: [], sends: [] });
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
    const send = {
      at: this.#world.time.now,
      upToDate: this.#isUpToDate(from),
    };
    this.#poisonOf(call)?.sends.push(send);
  }

  /** Returns how a run of a request crashes its endpoint, `undefined` if it doesn't. */
  crashOf(
    call: string,
    { version }: FakeBackend,
  ): ReturnType<CrashPolicy["crashOf"]> {
    const poison = this.#fixedVersions.has(version)
      ? undefined
      : this.#poisonOf(call);
    if (poison === undefined || poison.crashSpanMs === 0) {
      return poison;
    }
    const drawn = poison.crashSpanMs * this.#world.random.next();
    return { ...poison, crashAfterMs: poison.crashAfterMs + drawn };
  }

  /** Crashes an endpoint because of a request that it runs. */
  crashUnder(call: string, backend: FakeBackend): void {
    const poison = this.#poisonOf(call)!;
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

  /** Counts the sends of a poison by up-to-date entries after it should have been detected. */
  lateSends(name: string): number {
    const { of, crashTimes, sends } = this.poisons.get(name)!;
    const detectionStartsAt = crashTimes[CRASHES_TO_DETECT[of] - 1] ?? Infinity;
    return sends.filter(({ at, upToDate }) =>
      upToDate && at > detectionStartsAt + DETECTION_MS
    ).length;
  }

  #isUpToDate({ name, startedAt }: VirtualGateway): boolean {
    const { time, oldEntries, connectedSince } = this.#world;
    const since = Math.max(startedAt, connectedSince(name));
    return !oldEntries.has(name) && time.now - since >= DETECTION_MS;
  }

  #poisonOf(call: string): Poison | undefined {
    const body = this.poisons.get(this.#world.bodyOf(call));
    if (body?.of === "body") {
      return body;
    }
    return this.#world.sharedPartsOf(call).map((id) => this.poisons.get(id))
      .find((poison) => poison?.of === "part");
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

/** Checks that no poison was sent more often than tolerated after it should have been detected. */
export function checkPoisons({ crashes }: RouteWorld): string[] {
  return [...crashes.poisons].flatMap(([name, { of, crashTimes }]) => {
    const late = crashes.lateSends(name);
    return late <= MAX_LATE_SENDS ? [] : [
      `Requests with ${of} ${name} reached endpoints ${late} times after it should have been detected; they crashed ${crashTimes.length}`,
    ];
  });
}

/** Returns the backend that now has the address of the named one. */
export function currentBackend(world: RouteWorld, name: string): FakeBackend {
  const backend = world.backends.get(name)!;
  return world.backendAt(addressOf(backend)) ?? backend;
}
