/**
 * Endpoints that end: of themselves, or under a request that crashes whatever runs it. They are back
 * after a while as new endpoints at the same address.
 *
 * @module
 */
import type { FakeBackend } from "./fake_backend.ts";
import { addressOf, type RouteWorld } from "./route_world.ts";
import { recordOf } from "./route_setting.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** Until the platform takes the record of an endpoint away that is silent. */
const RECORD_LIFETIME_MS = 3_000;
/** Until an endpoint is back. */
const DOWN_MS = 7_000;
/** A request that crashes endpoints must be known for what it is this long after the third end. */
const SETTLE_MS = 6_000;
const ENDS_TO_KNOW = 3;
/** Sends of a request that is known which are borne, all entries together. */
export const SENDS_AFTERWARDS = 3;

/** How an endpoint ends. */
export type EndKind =
  /** Its connections are closed, new ones refused. */
  | "close"
  /** Its connections hang. */
  | "dark"
  /** It answers a failure and closes. */
  | "failure"
  /** As `close`, and it is back at once under its id. */
  | "reborn";

/** One send of a body to an endpoint. */
interface Arrival {
  readonly at: number;
  /** Whether its entry had run for long enough to know what the others know. */
  readonly inTouch: boolean;
}

/** A body that crashes what runs it. */
interface Poison {
  /** From the start of a run to its end. */
  readonly after: number;
  readonly how: EndKind;
  readonly down: number;
  /** Times at which endpoints ended under it. */
  readonly ends: number[];
  readonly arrivals: Arrival[];
}

/** Ends endpoints, and counts under what. */
export class Crashes {
  readonly poisons = new Map<string, Poison>();
  readonly #world: RouteWorld;
  readonly #cured = new Set<string>();
  #lives = 0;

  constructor(world: RouteWorld) {
    this.#world = world;
  }

  addPoison(
    body: string,
    { after, how, down = DOWN_MS }: {
      after: number;
      how: EndKind;
      down?: number;
    },
  ): void {
    this.poisons.set(body, { after, how, down, ends: [], arrivals: [] });
  }

  /** Endpoints of this software do not crash. */
  cure(version: string): void {
    this.#cured.add(version);
  }

  /** A request has reached an endpoint that it may crash. */
  noteArrival(
    call: string,
    { from, at }: { from: VirtualGateway; at: FakeBackend },
  ): void {
    if (this.#cured.has(at.version)) {
      return;
    }
    const { now } = this.#world.time;
    const inTouch = now - from.startedAt >= SETTLE_MS;
    this.#poisonOf(call)?.arrivals.push({ at: now, inTouch });
  }

  /** Time until a run of a request ends its endpoint, `undefined` where it does not. */
  timeOf(call: string, { version }: FakeBackend): number | undefined {
    return this.#cured.has(version) ? undefined : this.#poisonOf(call)?.after;
  }

  /** The endpoint ends under a request. */
  under(call: string, backend: FakeBackend): void {
    const poison = this.#poisonOf(call)!;
    poison.ends.push(this.#world.time.now);
    this.end(backend, poison);
  }

  /** The endpoint ends, and is back after some time. */
  end(
    backend: FakeBackend,
    { how, down = DOWN_MS }: { how: EndKind; down?: number },
  ): void {
    const { store, time } = this.#world;
    backend.end(how === "dark" ? "dark" : "refuse", {
      answers: how === "failure",
    });
    if (how === "reborn") {
      return this.#startAgain(backend);
    }
    time.after(RECORD_LIFETIME_MS, () => store.remove(backend.id));
    time.after(down, () => this.#replace(backend));
  }

  /** Sends to endpoints of a body, by entries in touch, later than it had to be known. */
  lateSends(body: string): number {
    const { ends, arrivals } = this.poisons.get(body)!;
    const third = ends[ENDS_TO_KNOW - 1] ?? Infinity;
    return arrivals.filter(({ at, inTouch }) =>
      inTouch && at > third + SETTLE_MS
    ).length;
  }

  #poisonOf(call: string): Poison | undefined {
    return this.poisons.get(this.#world.bodyOf(call));
  }

  #replace(backend: FakeBackend): void {
    const [base] = backend.name.split("/");
    this.#lives++;
    const name = `${base}/${this.#lives}`;
    const next = backend.successor({ name, id: `i-${name}` });
    this.#world.backends.set(name, next);
    this.#world.store.put(recordOf(next, { sequence: 1 }));
  }

  #startAgain(backend: FakeBackend): void {
    this.#lives++;
    backend.mode = "answer";
    backend.life = this.#world.time.now + this.#lives;
    this.#world.store.put(recordOf(backend, { sequence: 1 }));
  }
}

/** What must hold of each body that crashes endpoints. */
export function checkPoisons({ crashes }: RouteWorld): string[] {
  return [...crashes.poisons.keys()].flatMap((body) => {
    const late = crashes.lateSends(body);
    const { ends } = crashes.poisons.get(body)!;
    return late <= SENDS_AFTERWARDS ? [] : [
      `Body ${body} reached endpoints ${late} times after it had to be known; ${ends.length} ended`,
    ];
  });
}

/** The backend that answers at an address now. */
export function presentAt(world: RouteWorld, name: string): FakeBackend {
  const backend = world.backends.get(name)!;
  return world.backendAt(addressOf(backend)) ?? backend;
}
