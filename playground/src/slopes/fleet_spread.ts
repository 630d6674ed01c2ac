/**
 * Measures the control plane of a fleet of cores under virtual time, without requests or endpoints: how fast
 * a configuration text and a member's crash propagate, and the messages and CPU time this takes.
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
  SeededRandomness,
  type ServiceRevision,
  type ZoneId,
} from "@sassafrasstep/core";
import { encodeHeartbeat, encodeHeartbeatReply } from "@sassafrasstep/daemon";
import { FakeConfiguration } from "../scenario/platform_fakes.ts";
import { VirtualTime } from "../scenario/virtual_time.ts";
import { type FleetSize, makeConfigurationText, zoneAt } from "./made_fleet.ts";

const TICK_MS = 250;
const SAME_REGION_DELAY_MS = 1;
const CROSS_REGION_DELAY_MS = 90;
const WARM_UP_MS = 120_000;
const STEADY_STATE_MS = 60_000;
const MAX_PROPAGATION_MS = 60_000;
const LONG_POLL_MS = 20_000;
const INCARNATION_DIGITS = 8;

/** The measurements of a fleet of one size. */
export interface PropagationResult {
  readonly entries: number;
  /** Time until a published text was in force in all entries. */
  readonly configurationMs: number;
  /** Time until no running member of the region considered a crashed one live. */
  readonly deathMs: number;
  /** Number of times that a running member was suspected by one of its region, at the end of the steady state. */
  readonly falseSuspects: number;
  /** The largest number of members in any entry's view. */
  readonly knownMembers: number;
  readonly heartbeatsPerNodeSecond: number;
  /** Bytes of heartbeats and replies as JSON, sent and received, without HTTP. */
  readonly messageBytesPerNodeSecond: number;
  /** Heartbeats per second from the node that sent the most. */
  readonly heartbeatsPerSecondOfBusiest: number;
  readonly configurationCallsPerSecond: number;
  /** CPU time of the cores per node and second of virtual time, in microseconds. */
  readonly cpuMicrosPerNodeSecond: number;
}

interface Node {
  readonly core: Core;
  readonly region: string;
  readonly url: string;
  crashed: boolean;
  heartbeatsSent: number;
  messageBytes: number;
}

/** Runs a fleet of the given size and measures it. */
export function measurePropagation(size: FleetSize): PropagationResult {
  const run = new PropagationRun(size);
  return run.measure();
}

/** A simulated fleet. */
class PropagationRun {
  readonly #size: FleetSize;
  readonly #time = new VirtualTime();
  readonly #configuration = new FakeConfiguration();
  readonly #nodes: Node[] = [];
  readonly #byUrl = new Map<string, Node>();

  constructor(size: FleetSize) {
    this.#size = size;
    this.#configuration.publish(makeConfigurationText(size));
    for (let index = 0; index < size.entries; index++) {
      this.#startNode(index);
    }
  }

  measure(): PropagationResult {
    this.#time.runUntil(WARM_UP_MS);
    const steady = this.#measureSteadyState();
    const knownMembers = this.#knownMembers();
    const falseSuspects = this.#falseSuspects();
    const configurationMs = this.#measureConfiguration();
    const deathMs = this.#measureCrashDetection();
    return {
      entries: this.#size.entries,
      configurationMs,
      deathMs,
      falseSuspects,
      knownMembers,
      ...steady,
    };
  }

  #measureSteadyState(): Omit<
    PropagationResult,
    "entries" | "configurationMs" | "deathMs" | "falseSuspects" | "knownMembers"
  > {
    for (const node of this.#nodes) {
      node.heartbeatsSent = 0;
      node.messageBytes = 0;
    }
    const calls = this.#configuration.calls;
    const cpu = process.cpuUsage();
    this.#time.runUntil(this.#time.now + STEADY_STATE_MS);
    const cpuUsed = process.cpuUsage(cpu);
    const seconds = STEADY_STATE_MS / 1_000;
    const nodeCount = this.#nodes.length;
    const sum = (count: (node: Node) => number): number =>
      this.#nodes.reduce((total, node) => total + count(node), 0);
    return {
      heartbeatsPerNodeSecond: sum(({ heartbeatsSent }) => heartbeatsSent) /
        nodeCount / seconds,
      messageBytesPerNodeSecond: sum(({ messageBytes }) => messageBytes) /
        nodeCount / seconds,
      heartbeatsPerSecondOfBusiest:
        Math.max(...this.#nodes.map(({ heartbeatsSent }) => heartbeatsSent)) /
        seconds,
      configurationCallsPerSecond: (this.#configuration.calls - calls) /
        seconds,
      cpuMicrosPerNodeSecond: (cpuUsed.user + cpuUsed.system) / nodeCount /
        seconds,
    };
  }

  #measureConfiguration(): number {
    const text = makeConfigurationText(this.#size).replace(
      "requests_per_s = 100",
      "requests_per_s = 90",
    );
    const start = this.#time.now;
    this.#configuration.publish(text);
    const revision = this.#configuration.revision;
    return this.#timeUntil(
      start,
      () =>
        this.#nodes.every(({ core }) =>
          core.board.configuration.revision === revision
        ),
    );
  }

  #measureCrashDetection(): number {
    const [crashedNode] = this.#nodes;
    crashedNode!.crashed = true;
    const start = this.#time.now;
    const { incarnation } = crashedNode!.core.board.self;
    return this.#timeUntil(
      start,
      () =>
        this.#nodes.every((node) =>
          node === crashedNode || node.region !== crashedNode!.region ||
          node.core.board.membership.members.get(incarnation)?.health !== "live"
        ),
    );
  }

  #timeUntil(start: number, done: () => boolean): number {
    while (!done() && this.#time.now - start < MAX_PROPAGATION_MS) {
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

  #startNode(index: number): void {
    const { zone, region } = zoneAt(this.#size, index);
    const url = `http://10.1.${index >> 8}.${index & 255}:7001`;
    const random = new SeededRandomness(index + 1);
    const clockOffset = Math.floor(random.next() * 1_000_000);
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
    }, instant(clockOffset));
    const node: Node = {
      core,
      region,
      url,
      crashed: false,
      heartbeatsSent: 0,
      messageBytes: 0,
    };
    this.#nodes.push(node);
    this.#byUrl.set(url, node);
    const dispatch = (event: CoreEvent): void => {
      if (!node.crashed) {
        const effects = core.handle(
          event,
          instant(clockOffset + this.#time.now),
        );
        effects.forEach((effect) =>
          this.#applyEffect(node, { effect, dispatch })
        );
      }
    };
    const tick = (): void => {
      dispatch({ kind: "tick" });
      this.#time.after(TICK_MS, tick);
    };
    this.#time.after(random.next() * 1_000, tick);
    dispatch({ kind: "vmsListed", vms: [] });
  }

  /** Returns two earlier entries of the region and one of the fleet, as from the VM list. */
  #seedsFor(index: number): string[] {
    const { region } = zoneAt(this.#size, index);
    const near = this.#nodes.filter((node) => node.region === region).slice(
      0,
      2,
    );
    return [...near, ...this.#nodes.slice(0, 1)].map(({ url }) => url);
  }

  #applyEffect(
    node: Node,
    { effect, dispatch }: {
      effect: Effect;
      dispatch: (event: CoreEvent) => void;
    },
  ): void {
    if (effect.kind === "sendHeartbeat") {
      const peer = this.#byUrl.get(effect.url);
      if (peer === undefined || peer.crashed) {
        return;
      }
      const delay = peer.region === node.region
        ? SAME_REGION_DELAY_MS
        : CROSS_REGION_DELAY_MS;
      node.heartbeatsSent++;
      const requestBytes =
        JSON.stringify(encodeHeartbeat(effect.heartbeat)).length;
      this.#time.after(delay, () => {
        const reply = peer.core.answerHeartbeat(
          effect.heartbeat,
          this.#localTime(peer),
        );
        const bytes = requestBytes +
          JSON.stringify(encodeHeartbeatReply(reply)).length;
        node.messageBytes += bytes;
        peer.messageBytes += bytes;
        this.#time.after(
          delay,
          () => dispatch({ kind: "heartbeatReply", reply }),
        );
      });
    } else if (effect.kind === "copyConfiguration") {
      const peer = this.#byUrl.get(effect.url)!;
      const copy = peer.core.answerConfiguration(effect.have);
      this.#time.after(
        2 * SAME_REGION_DELAY_MS,
        () =>
          dispatch({
            kind: "configurationCopied",
            from: effect.from,
            copy,
            answered: true,
          }),
      );
    } else if (effect.kind === "readConfiguration") {
      this.#readConfiguration(effect, dispatch);
    } else if (effect.kind === "listVms") {
      this.#time.after(
        SAME_REGION_DELAY_MS,
        () => dispatch({ kind: "vmsUnchanged" }),
      );
    }
  }

  #localTime(node: Node): ReturnType<typeof instant> {
    return instant(node.core.board.lifecycle.startedAt + this.#time.now);
  }

  #readConfiguration(
    { after, wait }: { after: ServiceRevision; wait: boolean },
    dispatch: (event: CoreEvent) => void,
  ): void {
    this.#configuration.calls++;
    const published = this.#configuration.read()!;
    if (!wait || published.revision > after) {
      this.#time.after(
        SAME_REGION_DELAY_MS,
        () => dispatch({ kind: "configurationRead", ...published }),
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
        SAME_REGION_DELAY_MS,
        () =>
          dispatch(
            now.revision > after
              ? { kind: "configurationRead", ...now }
              : { kind: "configurationUnchanged" },
          ),
      );
    };
    const unwatch = this.#configuration.watch(answer);
    this.#time.after(LONG_POLL_MS, answer);
  }
}
