/**
 * Measures failure detection in fleets of entries that serve routes, under virtual time: the cost of pings per
 * entry and the time until an entry that falls silent is detected. Bytes are those of the datagrams.
 *
 * @module
 */
import {
  type EntryId,
  FleetController,
  type FleetMessage,
  type Incarnation,
  instant,
  milliseconds,
  NO_POSITION,
  type RegionId,
  type Revision,
  SeededRandomness,
  StallAdjustedClock,
  type ZoneId,
} from "@sassafrasstep/core";
import { encodeFleetMessage } from "@sassafrasstep/daemon";
import { VirtualTime } from "../scenario/virtual_time.ts";

const TICK_MS = 25;
const PING_PERIOD_MS = 500;
const SAME_REGION_DELAY_MS = 1;
const CROSS_REGION_DELAY_MS = 80;
const SETTLE_MS = 60_000;
const MEASURE_MS = 20_000;
const MAX_DETECTION_MS = 30_000;
const MAX_REGIONS = 22;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** The measurements of a fleet of one size. */
export interface ProbeFinding {
  readonly entries: number;
  /** Bytes sent and received, per node and second. */
  readonly bytes: number;
  /** Datagrams sent, per node and second. */
  readonly datagrams: number;
  /** Size of the largest datagram, in bytes. */
  readonly largest: number;
  /** Time that the controllers took, per node and second, in microseconds. */
  readonly cpuUs: number;
  /** Time until no running entry of its region considers a silent entry live. */
  readonly lostInRegionMs: number;
  /** Time until no running entry of the fleet considers a silent entry live. */
  readonly lostEverywhereMs: number;
  readonly falseSuspects: number;
}

interface Node {
  readonly controller: FleetController;
  readonly region: string;
  readonly incarnation: Incarnation;
  alive: boolean;
}

/** Runs and measures a fleet of the given size. */
export function measureProbes(entries: number): ProbeFinding {
  const fleet = new ProbeFleet(entries);
  fleet.run(SETTLE_MS);
  const before = fleet.counts();
  const suspectCount = fleet.countFalseSuspects();
  const started = performance.now();
  fleet.run(MEASURE_MS);
  const cpuMs = performance.now() - started;
  const after = fleet.counts();
  const perNode = entries * MEASURE_MS / MS_PER_SECOND;
  const { region, everywhere } = fleet.measureDetection();
  return {
    entries,
    bytes: Math.round(2 * (after.bytes - before.bytes) / perNode),
    datagrams: (after.datagrams - before.datagrams) / perNode,
    largest: after.largest,
    cpuUs: Math.round(cpuMs * US_PER_MS / perNode),
    lostInRegionMs: region,
    lostEverywhereMs: everywhere,
    falseSuspects: suspectCount,
  };
}

/** A simulated fleet. */
class ProbeFleet {
  readonly #time = new VirtualTime();
  readonly #nodes = new Map<string, Node>();
  #bytes = 0;
  #datagrams = 0;
  #largest = 0;

  constructor(entries: number) {
    const regions = Math.min(
      MAX_REGIONS,
      Math.max(3, Math.round(entries / 24)),
    );
    for (let index = 0; index < entries; index++) {
      this.#add(index, `r${index % regions}`);
    }
  }

  run(duration: number): void {
    this.#time.runUntil(this.#time.now + duration);
  }

  counts(): { bytes: number; datagrams: number; largest: number } {
    return {
      bytes: this.#bytes,
      datagrams: this.#datagrams,
      largest: this.#largest,
    };
  }

  /** Counts the entries that others do not consider live, while all are running. */
  countFalseSuspects(): number {
    const nodes = [...this.#nodes.values()];
    return nodes.reduce(
      (sum, { controller }) =>
        sum + nodes.length - 1 - controller.liveMembers().length,
      0,
    );
  }

  /** Silences one entry and measures how long others still consider it live. */
  measureDetection(): { region: number; everywhere: number } {
    const [silenced] = [...this.#nodes.values()];
    silenced!.alive = false;
    const silencedAt = this.#time.now;
    let region = MAX_DETECTION_MS;
    while (this.#time.now - silencedAt < MAX_DETECTION_MS) {
      this.run(TICK_MS);
      const stillLive = [...this.#nodes.values()].filter((
        { alive, controller },
      ) =>
        alive &&
        controller.liveMembers().some(({ record }) =>
          record.incarnation === silenced!.incarnation
        )
      );
      const stillLiveInRegion = stillLive.filter((node) =>
        node.region === silenced!.region
      );
      if (stillLiveInRegion.length === 0 && region === MAX_DETECTION_MS) {
        region = this.#time.now - silencedAt;
      }
      if (stillLive.length === 0) {
        return { region, everywhere: this.#time.now - silencedAt };
      }
    }
    return { region, everywhere: MAX_DETECTION_MS };
  }

  #add(index: number, region: string): void {
    const address = `n${index}:90`;
    const incarnation = `n${index}` as Incarnation;
    const controller = new FleetController({
      self: {
        id: `n${index}` as EntryId,
        incarnation,
        zone: `${region}-${index % 3}` as ZoneId,
        region: region as RegionId,
        callerAddress: `10.0.0.${index}:8144`,
        peerAddress: address,
        weight: 1,
      },
      seeds: ["n0:90", "n1:90", "n2:90"],
      pingPeriodMs: PING_PERIOD_MS,
      isStandby: () => false,
      nextHolds: () => [],
      random: new SeededRandomness(index + 1),
      clock: new StallAdjustedClock(instant(0)),
      send: (to, message) => this.#send({ from: region, to, message }),
      holdings: () => ({ document: 1 as Revision, catalogue: NO_POSITION }),
      summary: () => ({
        region: region as RegionId,
        age: milliseconds(0),
        loads: [],
        shares: [],
      }),
    }, instant(0));
    this.#nodes.set(address, { controller, region, incarnation, alive: true });
    const tick = (): void => {
      if (this.#nodes.get(address)!.alive) {
        controller.tick(instant(this.#time.now));
      }
      this.#time.after(TICK_MS, tick);
    };
    this.#time.after((index * 7) % TICK_MS, tick);
  }

  #send(
    { from, to, message }: { from: string; to: string; message: FleetMessage },
  ): void {
    const size = encodeFleetMessage(message).length;
    this.#bytes += size;
    this.#datagrams++;
    this.#largest = Math.max(this.#largest, size);
    const node = this.#nodes.get(to);
    const delay = node?.region === from
      ? SAME_REGION_DELAY_MS
      : CROSS_REGION_DELAY_MS;
    this.#time.after(delay, () => {
      if (node?.alive === true) {
        node.controller.receive(message, instant(this.#time.now));
      }
    });
  }
}
