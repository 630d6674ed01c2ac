/**
 * A fleet of entries with callers, endpoints, a store and a network, in virtual time.
 *
 * @module
 */
import {
  AUTOMATIC_FEATURES,
  type CallerDigest,
  type CallId,
  type ContentDigest,
  type EntryId,
  type FeatureSettings,
  type GatewayBounds,
  type GatewayIdentity,
  instant,
  keyDigest,
  milliseconds,
  partDigest,
  type RegionId,
  type RequestFingerprint,
  SeededRandomness,
  type ZoneId,
} from "@sassafrasstep/core";
import { Network, type Spot } from "../scenario/network.ts";
import { VirtualTime } from "../scenario/virtual_time.ts";
import { CrashSimulator } from "./crashes.ts";
import type { FakeBackend, Run } from "./fake_backend.ts";
import { FakeStore } from "./fake_store.ts";
import type {
  CallPlan,
  ObservedCall,
  ServiceArrival,
  WorldLogLine,
} from "./route_types.ts";
import { RouteLinks } from "./route_links.ts";
import { type ContentionParameters, SharedMachine } from "./shared_machine.ts";
import type { Recipient } from "./virtual_attempts.ts";
import { VirtualGateway } from "./virtual_gateway.ts";

const DEFAULT_BOUNDS: GatewayBounds = {
  retryRatio: 0.2,
  retryWindow: milliseconds(10_000),
  retrySlack: 50,
  coldOvershoot: 1.5,
  coldSlack: 3,
  listLifetime: milliseconds(5_000),
  stopTime: milliseconds(8_000),
  keyLifetime: milliseconds(5_000),
};

/** Factor that makes the seeds of shared machines differ from those of entries and traffic. */
const MACHINE_SEED_FACTOR = 104_729;

/** The world of one scenario. */
export class RouteWorld {
  readonly time = new VirtualTime();
  readonly network = new Network();
  readonly store = new FakeStore(this.time);
  readonly entries = new Map<string, VirtualGateway>();
  readonly backends = new Map<string, FakeBackend>();
  readonly calls = new Map<string, ObservedCall>();
  readonly runs: Run[] = [];
  /** Requests that reached endpoints, whether these ran them or not. */
  readonly arrivals: ServiceArrival[] = [];
  /** Bounds in the settings of entries. */
  bounds: GatewayBounds = DEFAULT_BOUNDS;
  readonly links = new RouteLinks(this);
  readonly crashes = new CrashSimulator(this);
  readonly log: WorldLogLine[] = [];
  readonly spots = new Map<string, Spot>();
  readonly random: SeededRandomness;
  /** Entries that are each isolated from all other entries, also from those in their zone. */
  readonly isolatedEntries = new Set<string>();
  /** Entries that run a build without records of streams' software versions. */
  readonly oldEntries = new Set<string>();
  /** When the steps of the scenario began, in virtual milliseconds. */
  startOfScript = 0;
  /** Fraction of datagrams that is lost. */
  datagramLossRate = 0;
  /** The optional decisions of entries that start from now on. */
  features: FeatureSettings = AUTOMATIC_FEATURES;
  readonly #seed: number;
  readonly #eventCounts = new Map<string, number>();
  readonly #bodies = new Map<string, string>();
  readonly #sharedParts = new Map<string, readonly string[]>();
  readonly #reconnectedAt = new Map<string, number>();
  #machines = 0;

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

  /** Adds a machine that other work slows down; `undefined` without contention. */
  createMachine(
    contention: ContentionParameters | undefined,
  ): SharedMachine | undefined {
    if (contention === undefined) {
      return undefined;
    }
    this.#machines++;
    const seed = this.#seed * MACHINE_SEED_FACTOR + this.#machines;
    return new SharedMachine(contention, new SeededRandomness(seed));
  }

  startEntry(name: string): void {
    const entry = this.entries.get(name)!;
    entry.start(this.#identityOf(entry));
  }

  /** Changes the bounds in the settings of all entries, those that run included. */
  changeBounds(bounds: GatewayBounds): void {
    this.bounds = bounds;
    this.entries.forEach((entry) => entry.handle({ kind: "rebound", bounds }));
  }

  /** Sets the number of events in the answer to a request. */
  expectEvents(call: string, events: number): void {
    this.#eventCounts.set(call, events);
  }

  /** Returns the number of events in the answer to a request. */
  eventCountOf(call: string): number {
    return this.#eventCounts.get(call) ?? 0;
  }

  /** Returns the body of a request; by default each request has its own. */
  bodyOf(call: string): string {
    return this.#bodies.get(call) ?? call;
  }

  /** Returns the ids of the parts of a request's prompt but for the last. */
  sharedPartsOf(call: string): readonly string[] {
    return this.#sharedParts.get(call) ?? [];
  }

  /** Since when an entry has not been isolated; infinity while it is. */
  readonly connectedSince = (entry: string): number =>
    this.isolatedEntries.has(entry)
      ? Infinity
      : this.#reconnectedAt.get(entry) ?? 0;

  /** Sends a caller's request to an entry. */
  call(plan: CallPlan): void {
    const entry = this.entries.get(plan.entry)!;
    const route = this.store.routes.get(plan.route);
    const call: ObservedCall = {
      name: plan.name,
      route: plan.route,
      key: plan.key,
      entry,
      sentAt: this.time.now,
      id: undefined,
      status: undefined,
      retryAfter: undefined,
      events: [],
      versions: new Set(),
      resumption: plan.resumption,
      ended: undefined,
      endedAt: undefined,
    };
    this.calls.set(plan.name, call);
    this.expectEvents(plan.name, plan.events);
    this.#bodies.set(plan.name, plan.body);
    const sharedParts = (plan.prompt?.parts ?? []).slice(0, -1)
      .map(({ id }) => id);
    this.#sharedParts.set(plan.name, sharedParts);
    call.id = entry.arrive({
      call: plan.name as CallId,
      host: route?.host ?? "nowhere",
      target: `${route?.pathPrefix ?? "/nothing/"}x`,
      timeLeft: plan.timeLeftMs === undefined
        ? undefined
        : milliseconds(plan.timeLeftMs),
      prompt: plan.prompt,
      key: plan.key === undefined ? undefined : keyDigest(plan.key),
      lastEventId: plan.resumption && String(plan.resumption.after),
      resumedCall: plan.resumption?.stated,
      bodyBytes: 0,
      fingerprint: {
        ...fingerprintOf(plan.body, plan.caller),
        parts: sharedParts.map(partDigest),
      },
      relay: undefined,
    }, this.#recipientOf(call, plan.onEnd ?? (() => {})));
  }

  /** Isolates an entry from all others. */
  isolateEntry(entry: string): void {
    this.isolatedEntries.add(entry);
    this.network.isolate([entry]);
  }

  heal(): void {
    for (const entry of this.isolatedEntries) {
      this.#reconnectedAt.set(entry, this.time.now);
    }
    this.isolatedEntries.clear();
    this.network.heal();
  }

  /** Returns the entries that one entry names to a caller in a zone. */
  resolveEntries(
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

  #recipientOf(
    call: ObservedCall,
    onEnd: (call: ObservedCall) => void,
  ): Recipient {
    const end = (outcome: "complete" | "broken"): void => {
      if (call.ended === undefined) {
        call.ended = outcome;
        call.endedAt = this.time.now;
        onEnd(call);
      }
    };
    return {
      head: ({ status, retryAfter }) => {
        call.status = status;
        call.retryAfter = retryAfter;
      },
      event: (id, version) => {
        call.events.push(id);
        call.versions.add(version);
      },
      complete: () => end("complete"),
      broken: () => end("broken"),
    };
  }

  #identityOf(
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
      features: this.features,
      regionByZone: new Map(
        [...this.spots.values()].map((
          { zone, region },
        ) => [zone as ZoneId, region as RegionId]),
      ),
      bounds: this.bounds,
    };
  }

  /** Returns the backend at an address, `undefined` if there is none. */
  backendAt(address: string): FakeBackend | undefined {
    // Of several backends with the same address, the last one added owns it.
    return [...this.backends.values()].findLast((backend) =>
      addressOf(backend) === address
    );
  }
}

/** Returns the fingerprint by which the gateway recognizes a repeated request. */
export function fingerprintOf(
  body: string,
  caller: string,
): RequestFingerprint {
  return { content: body as ContentDigest, caller: caller as CallerDigest };
}

/** Returns the address of a backend. Backends whose names are equal before the slash share it. */
export function addressOf({ name }: FakeBackend): string {
  return `${name.split("/")[0]}:70`;
}
