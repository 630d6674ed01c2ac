/**
 * Cores of a whole fleet under virtual time: how fast a text and a member's death spread, what is sent
 * for it, and what it costs. No requests and no endpoints: only control.
 *
 * @module
 */
import {
  Core,
  type CoreEvent,
  type Effect,
  type EntryId,
  type Incarnation,
  instant,
  milliseconds,
  type RegionId,
  type Revision,
  SeededRandomness,
  type ZoneId,
} from "@sassafrasstep/core";
import { encodeHeartbeat, encodeHeartbeatReply } from "@sassafrasstep/daemon";
import { FakeConfiguration } from "../scenario/platform_fakes.ts";
import { VirtualTime } from "../scenario/virtual_time.ts";
import { type FleetSize, makeText, zoneAt } from "./made_fleet.ts";

const TICK_MS = 250;
const NEAR_MS = 1;
const FAR_MS = 90;
const WARM_UP_MS = 120_000;
const STEADY_MS = 60_000;
const SPREAD_LIMIT_MS = 60_000;
const WATCH_WAIT_MS = 20_000;
const INCARNATION_DIGITS = 8;

/** What one size showed. */
export interface Spread {
  readonly entries: number;
  /** Time until a published text was in force everywhere. */
  readonly configurationMs: number;
  /** Time until no live member of the region held a dead one for live. */
  readonly deathMs: number;
  /** Live members of the own region that were held for dead, at the end of the steady time. */
  readonly falseSuspects: number;
  readonly knownMembers: number;
  readonly heartbeatsPerNodeSecond: number;
  /** Bytes of messages as JSON, requests and replies, without HTTP. */
  readonly messageBytesPerNodeSecond: number;
  /** Of the busiest node. */
  readonly heartbeatsOfBusiest: number;
  readonly configurationCallsPerSecond: number;
  /** CPU of all cores for a second of virtual time, per node, in microseconds. */
  readonly cpuMicrosPerNodeSecond: number;
}

interface Node {
  readonly core: Core;
  readonly region: string;
  readonly url: string;
  dead: boolean;
  sent: number;
  bytes: number;
}

/** Runs a fleet of a size. */
export function measureSpread(size: FleetSize): Spread {
  const run = new SpreadRun(size);
  return run.measure();
}

class SpreadRun {
  readonly #size: FleetSize;
  readonly #time = new VirtualTime();
  readonly #configuration = new FakeConfiguration();
  readonly #nodes: Node[] = [];
  readonly #byUrl = new Map<string, Node>();

  constructor(size: FleetSize) {
    this.#size = size;
    this.#configuration.publish(makeText(size));
    for (let index = 0; index < size.entries; index++) {
      this.#start(index);
    }
  }

  measure(): Spread {
    this.#time.runUntil(WARM_UP_MS);
    const steady = this.#measureSteady();
    const knownMembers = this.#knownMembers();
    const falseSuspects = this.#falseSuspects();
    const configurationMs = this.#measureConfiguration();
    const deathMs = this.#measureDeath();
    return {
      entries: this.#size.entries,
      configurationMs,
      deathMs,
      falseSuspects,
      knownMembers,
      ...steady,
    };
  }

  #measureSteady(): Omit<
    Spread,
    "entries" | "configurationMs" | "deathMs" | "falseSuspects" | "knownMembers"
  > {
    for (const node of this.#nodes) {
      node.sent = 0;
      node.bytes = 0;
    }
    const calls = this.#configuration.calls;
    const cpu = process.cpuUsage();
    this.#time.runUntil(this.#time.now + STEADY_MS);
    const used = process.cpuUsage(cpu);
    const seconds = STEADY_MS / 1_000;
    const count = this.#nodes.length;
    const sum = (of: (node: Node) => number): number =>
      this.#nodes.reduce((total, node) => total + of(node), 0);
    return {
      heartbeatsPerNodeSecond: sum(({ sent }) => sent) / count / seconds,
      messageBytesPerNodeSecond: sum(({ bytes }) => bytes) / count / seconds,
      heartbeatsOfBusiest: Math.max(...this.#nodes.map(({ sent }) => sent)) /
        seconds,
      configurationCallsPerSecond: (this.#configuration.calls - calls) /
        seconds,
      cpuMicrosPerNodeSecond: (used.user + used.system) / count / seconds,
    };
  }

  #measureConfiguration(): number {
    const text = makeText(this.#size).replace(
      "requests_per_s = 100",
      "requests_per_s = 90",
    );
    const start = this.#time.now;
    this.#configuration.publish(text);
    const revision = this.#configuration.revision;
    return this.#until(
      start,
      () =>
        this.#nodes.every(({ core }) =>
          core.board.configuration.revision === revision
        ),
    );
  }

  #measureDeath(): number {
    const [victim] = this.#nodes;
    victim!.dead = true;
    const start = this.#time.now;
    const { incarnation } = victim!.core.board.self;
    return this.#until(
      start,
      () =>
        this.#nodes.every((node) =>
          node === victim || node.region !== victim!.region ||
          node.core.board.membership.members.get(incarnation)?.health !== "live"
        ),
    );
  }

  #until(start: number, done: () => boolean): number {
    while (!done() && this.#time.now - start < SPREAD_LIMIT_MS) {
      this.#time.runUntil(this.#time.now + TICK_MS);
    }
    return this.#time.now - start;
  }

  #falseSuspects(): number {
    let suspects = 0;
    for (const { core, region } of this.#nodes) {
      for (const member of core.board.membership.members.values()) {
        suspects +=
          member.health === "suspect" && member.record.region === region
            ? 1
            : 0;
      }
    }
    return suspects;
  }

  #knownMembers(): number {
    return Math.max(
      ...this.#nodes.map(({ core }) => core.board.membership.members.size),
    );
  }

  #start(index: number): void {
    const { zone, region } = zoneAt(this.#size, index);
    const url = `http://10.1.${index >> 8}.${index & 255}:7001`;
    const random = new SeededRandomness(index + 1);
    const clock = Math.floor(random.next() * 1_000_000);
    const core = new Core({
      self: {
        id: `entry-${zone}-${index}` as EntryId,
        incarnation: index.toString(16).padStart(
          INCARNATION_DIGITS,
          "0",
        ) as Incarnation,
        zone: zone as ZoneId,
        region: region as RegionId,
        url: url.replace("7001", "7000"),
        controlUrl: url,
        deployment: "made",
        seeds: this.#seedsFor(index),
        heartbeatPeriod: milliseconds(1_000),
        epochLength: milliseconds(300_000),
      },
      random,
    }, instant(clock));
    const node: Node = { core, region, url, dead: false, sent: 0, bytes: 0 };
    this.#nodes.push(node);
    this.#byUrl.set(url, node);
    const tell = (event: CoreEvent): void => {
      if (!node.dead) {
        const effects = core.handle(event, instant(clock + this.#time.now));
        effects.forEach((effect) => this.#carryOut(node, { effect, tell }));
      }
    };
    const tick = (): void => {
      tell({ kind: "tick" });
      this.#time.after(TICK_MS, tick);
    };
    this.#time.after(random.next() * 1_000, tick);
    tell({ kind: "vmsListed", vms: [] });
  }

  /** Two earlier entries of the region and one of the fleet, as the VM list would name them. */
  #seedsFor(index: number): string[] {
    const { region } = zoneAt(this.#size, index);
    const near = this.#nodes.filter((node) => node.region === region).slice(
      0,
      2,
    );
    return [...near, ...this.#nodes.slice(0, 1)].map(({ url }) => url);
  }

  #carryOut(
    node: Node,
    { effect, tell }: { effect: Effect; tell: (event: CoreEvent) => void },
  ): void {
    if (effect.kind === "sendHeartbeat") {
      const peer = this.#byUrl.get(effect.url);
      if (peer === undefined || peer.dead) {
        return;
      }
      const delay = peer.region === node.region ? NEAR_MS : FAR_MS;
      node.sent++;
      const requestBytes =
        JSON.stringify(encodeHeartbeat(effect.heartbeat)).length;
      this.#time.after(delay, () => {
        const reply = peer.core.answerHeartbeat(
          effect.heartbeat,
          this.#clockOf(peer),
        );
        const bytes = requestBytes +
          JSON.stringify(encodeHeartbeatReply(reply)).length;
        node.bytes += bytes;
        peer.bytes += bytes;
        this.#time.after(delay, () => tell({ kind: "heartbeatReply", reply }));
      });
    } else if (effect.kind === "copyConfiguration") {
      const peer = this.#byUrl.get(effect.url)!;
      const copy = peer.core.answerConfiguration(effect.have);
      this.#time.after(
        2 * NEAR_MS,
        () =>
          tell({
            kind: "configurationCopied",
            from: effect.from,
            copy,
            answered: true,
          }),
      );
    } else if (effect.kind === "readConfiguration") {
      this.#read(effect, tell);
    } else if (effect.kind === "listVms") {
      this.#time.after(NEAR_MS, () => tell({ kind: "vmsUnchanged" }));
    }
  }

  #clockOf(node: Node): ReturnType<typeof instant> {
    return instant(node.core.board.lifecycle.startedAt + this.#time.now);
  }

  #read(
    { after, wait }: { after: Revision; wait: boolean },
    tell: (event: CoreEvent) => void,
  ): void {
    this.#configuration.calls++;
    const published = this.#configuration.read()!;
    if (!wait || published.revision > after) {
      this.#time.after(
        NEAR_MS,
        () => tell({ kind: "configurationRead", ...published }),
      );
      return;
    }
    let answered = false;
    const answer = (): void => {
      if (answered) {
        return;
      }
      answered = true;
      unwatch();
      const now = this.#configuration.read()!;
      this.#time.after(
        NEAR_MS,
        () =>
          tell(
            now.revision > after
              ? { kind: "configurationRead", ...now }
              : { kind: "configurationUnchanged" },
          ),
      );
    };
    const unwatch = this.#configuration.watch(answer);
    this.#time.after(WATCH_WAIT_MS, answer);
  }
}
