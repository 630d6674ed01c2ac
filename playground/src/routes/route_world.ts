/**
 * A fleet of entries with callers, endpoints, store and network, under virtual time.
 *
 * @module
 */
import {
  type CallerDigest,
  type CallId,
  type ContentDigest,
  type EntryId,
  type GatewayBounds,
  type GatewayIdentity,
  instant,
  keyDigest,
  milliseconds,
  type RegionId,
  type RequestFingerprint,
  SeededRandomness,
  type ZoneId,
} from "@sassafrasstep/core";
import { Network, type Spot } from "../scenario/network.ts";
import { VirtualTime } from "../scenario/virtual_time.ts";
import { Crashes } from "./crashes.ts";
import type { FakeBackend, Run } from "./fake_backend.ts";
import { FakeStore } from "./fake_store.ts";
import type { CallPlan, SeenCall, WorldLogLine } from "./route_types.ts";
import { RouteLinks } from "./route_links.ts";
import type { Recipient } from "./virtual_attempts.ts";
import { VirtualGateway } from "./virtual_gateway.ts";

const BOUNDS: GatewayBounds = {
  retryRatio: 0.2,
  retryWindow: milliseconds(10_000),
  retrySlack: 50,
  coldOvershoot: 1.5,
  coldSlack: 3,
  listLifetime: milliseconds(5_000),
  stopTime: milliseconds(8_000),
  keyLifetime: milliseconds(5_000),
};

/** The world of one scenario. */
export class RouteWorld {
  readonly time = new VirtualTime();
  readonly network = new Network();
  readonly store = new FakeStore(this.time);
  readonly entries = new Map<string, VirtualGateway>();
  readonly backends = new Map<string, FakeBackend>();
  readonly calls = new Map<string, SeenCall>();
  readonly runs: Run[] = [];
  readonly links = new RouteLinks(this);
  readonly crashes = new Crashes(this);
  readonly log: WorldLogLine[] = [];
  readonly spots = new Map<string, Spot>();
  readonly random: SeededRandomness;
  /** Entries that are cut off from all others, alone. */
  readonly cutOff = new Set<string>();
  /** When steps began, in virtual milliseconds. */
  startOfScript = 0;
  /** Part of datagrams that is lost. */
  loss = 0;
  readonly #seed: number;
  readonly #events = new Map<string, number>();
  readonly #bodies = new Map<string, string>();

  constructor(seed: number) {
    this.#seed = seed;
    this.random = new SeededRandomness(seed);
  }

  addEntry(name: string, spot: Spot): VirtualGateway {
    const seed = this.#seed * 1_000 + this.entries.size * 10;
    const entry = new VirtualGateway(name, { spot, world: this, seed });
    this.entries.set(name, entry);
    return entry;
  }

  startEntry(name: string): void {
    const entry = this.entries.get(name)!;
    entry.start(this.#selfOf(entry));
  }

  /** Says how many events the answer to a request has. */
  expectEvents(call: string, events: number): void {
    this.#events.set(call, events);
  }

  /** Events of the answer to a request. */
  eventsOf(call: string): number {
    return this.#events.get(call) ?? 0;
  }

  /** What a request carries: a body of its own, unless it was said otherwise. */
  bodyOf(call: string): string {
    return this.#bodies.get(call) ?? call;
  }

  /** Sends a request of a caller. */
  call(plan: CallPlan): void {
    const entry = this.entries.get(plan.entry)!;
    const route = this.store.routes.get(plan.route);
    const seen: SeenCall = {
      name: plan.name,
      route: plan.route,
      key: plan.key,
      entry,
      sentAt: this.time.now,
      id: undefined,
      status: undefined,
      retryAfter: undefined,
      events: [],
      ended: undefined,
      endedAt: undefined,
    };
    this.calls.set(plan.name, seen);
    this.expectEvents(plan.name, plan.events);
    this.#bodies.set(plan.name, plan.body);
    seen.id = entry.arrive({
      call: plan.name as CallId,
      host: route?.host ?? "nowhere",
      target: `${route?.pathPrefix ?? "/nothing/"}x`,
      timeLeft: plan.timeLeft === undefined
        ? undefined
        : milliseconds(plan.timeLeft),
      prompt: plan.prompt,
      key: plan.key === undefined ? undefined : keyDigest(plan.key),
      lastEventId: undefined,
      bodyBytes: 0,
      fingerprint: fingerprintOf(plan.body, plan.caller),
      relay: undefined,
    }, this.#callerOf(seen));
  }

  /** Cuts one entry off from the others. */
  cut(entry: string): void {
    this.cutOff.add(entry);
    this.network.isolate([entry]);
  }

  heal(): void {
    this.cutOff.clear();
    this.network.heal();
  }

  /** Entries that one entry names to a caller of a zone. */
  named(
    entry: string,
    { host, zone }: { host: string; zone: string },
  ): string[] {
    const gateway = this.entries.get(entry)?.gateway;
    const answer = gateway?.nameEntries({
      host,
      zone: zone as ZoneId,
      region: this.spots.get(zone)!.region as RegionId,
      caller: "caller",
    }, instant(this.time.now));
    return (answer?.addresses ?? []).map((address) => address.split(":")[0]!)
      .sort();
  }

  #callerOf(seen: SeenCall): Recipient {
    const end = (how: "complete" | "broken"): void => {
      seen.ended ??= how;
      seen.endedAt ??= this.time.now;
    };
    return {
      head: ({ status, retryAfter }) => {
        seen.status = status;
        seen.retryAfter = retryAfter;
      },
      event: (id) => seen.events.push(id),
      complete: () => end("complete"),
      broken: () => end("broken"),
    };
  }

  #selfOf(
    { name, spot }: VirtualGateway,
  ): Omit<GatewayIdentity, "incarnation"> {
    return {
      id: name as EntryId,
      zone: spot.zone as ZoneId,
      region: spot.region as RegionId,
      callerAddress: `${name}:80`,
      peerAddress: `${name}:90`,
      weight: 1,
      seeds: [...this.entries.keys()].slice(0, 2).map((seed) => `${seed}:90`),
      regionByZone: new Map(
        [...this.spots.values()].map((
          { zone, region },
        ) => [zone as ZoneId, region as RegionId]),
      ),
      bounds: BOUNDS,
    };
  }

  /** Who answers at an address, `undefined` for nobody. */
  backendAt(address: string): FakeBackend | undefined {
    // The one that came last has the address now.
    return [...this.backends.values()].findLast((backend) =>
      addressOf(backend) === address
    );
  }
}

/** What a request is known by. */
export function fingerprintOf(
  body: string,
  caller: string,
): RequestFingerprint {
  return { content: body as ContentDigest, caller: caller as CallerDigest };
}

/** Address of a backend: those of the same name before the slash share it. */
export function addressOf({ name }: FakeBackend): string {
  return `${name.split("/")[0]}:70`;
}
